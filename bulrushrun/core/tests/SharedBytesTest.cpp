#include "bulrushrun/core.h"

#include <gtest/gtest.h>

#include <optional>

namespace bulrushrun {
namespace {

/// Guards against a copy of the bytes with each copy of the value.
TEST(SharedBytesTest, CopiesShareTheBytes)
{
  const SharedBytes bytes{ std::string(1000, 'x') };
  const SharedBytes copy = bytes;
  EXPECT_EQ(copy.view().data(), bytes.view().data());
  EXPECT_EQ(copy.size(), 1000U);
}

TEST(SharedBytesTest, IsEmptyWithoutBytes)
{
  EXPECT_TRUE(SharedBytes{}.empty());
  EXPECT_TRUE(SharedBytes{ std::string{} }.empty());
  EXPECT_EQ(SharedBytes{}.text(), "");
}

class BytesLoanTest : public ::testing::Test
{
protected:
  std::string mBuffer = "lent bytes";
  std::optional<BytesLoan> mLoan{ std::in_place, mBuffer };
};

TEST_F(BytesLoanTest, LendsWithoutACopy)
{
  EXPECT_EQ(mLoan->bytes().view().data(), mBuffer.data());
}

/// Guards against reading the buffer after it was used for something else.
TEST_F(BytesLoanTest, ValuesKeepTheirBytesAfterItsEnd)
{
  const SharedBytes first = mLoan->bytes();
  const SharedBytes second = first;
  mLoan.reset();
  mBuffer.assign(mBuffer.size(), '-');
  EXPECT_EQ(first.view(), "lent bytes");
  EXPECT_EQ(second.view().data(), first.view().data());
}

TEST_F(BytesLoanTest, EndsOnce)
{
  const SharedBytes bytes = mLoan->bytes();
  mLoan->end();
  mLoan->end();
  EXPECT_TRUE(mLoan->bytes().empty());
  EXPECT_EQ(bytes.view(), "lent bytes");
}

} // namespace
} // namespace bulrushrun
