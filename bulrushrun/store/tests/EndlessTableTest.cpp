#include "bulrushrun/steering/tests/FleetSimulation.h"
#include "platform/RowStoreProtocol.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// One read of a table from a store that always announces a further page.
class EndlessTableTest : public ::testing::Test
{
protected:
  using Reader = TableFeedReader<SimulatedHost, platform::RowStoreProtocol>;

  EndlessTableTest()
  {
    mSimulation.add("n1", "za");
    mReader = std::make_unique<Reader>(
      mSimulation.host("n1"),
      Endpoint{ 0x0a800000, FleetSimulation::kTargetPort },
      "servers",
      FeedTimeouts{},
      TableFeedListener{ [](const std::vector<StoreRow>&, RecordVersion, TimePoint) {},
                         [](const std::vector<StoreRow>&, TimePoint) {},
                         [this](bool aAvailable, const std::string& aReason) {
                           mAvailable = aAvailable;
                           mReason = aReason;
                         } });
    mReader->start();
  }
  bool isReading() const { return !mSimulation.targetExchanges().empty(); }
  /// Answers the call in progress with a page of one row.
  void receivePage(const std::string& aKey, const std::string& aValue)
  {
    mSimulation.writeResponse(mSimulation.targetExchanges().front(),
                              200,
                              {},
                              R"({"ver":5,"hasMore":true,"rows":[{"key":")" + aKey +
                                R"(","ver":1,"value":")" + toBase64(aValue) + R"("}]})");
  }

  FleetSimulation mSimulation;
  std::unique_ptr<Reader> mReader;
  bool mAvailable = true;
  std::string mReason;
};

/// Guards against keeping pages without end.
TEST_F(EndlessTableTest, ReadIsGivenUpAtTheLimit)
{
  const std::string value(std::size_t{ 1024 } * 1024, 'x');
  int pages = 0;
  while (isReading() && pages < 100) {
    receivePage("k" + std::to_string(1000 + pages), value);
    ++pages;
  }
  EXPECT_EQ(pages, 32);
  EXPECT_FALSE(mAvailable);
  EXPECT_EQ(mReason, "the table exceeds its limit");
}

/// Guards against reading the same page for ever.
TEST_F(EndlessTableTest, ReadIsGivenUpWhenPagesRepeat)
{
  receivePage("k1", "v");
  receivePage("k1", "v");
  EXPECT_FALSE(isReading());
  EXPECT_EQ(mReason, "the pages of the table repeat");
}

/// Guards against paying for the same read again at once.
TEST_F(EndlessTableTest, IsReadAgainAfterSeconds)
{
  receivePage("k1", "v");
  receivePage("k1", "v");
  const std::uint64_t calls = mReader->tableReads();
  mSimulation.run(std::chrono::milliseconds(4900));
  EXPECT_EQ(mReader->tableReads(), calls);
  mSimulation.run(std::chrono::milliseconds(5200));
  EXPECT_GT(mReader->tableReads(), calls);
}

} // namespace
} // namespace bulrushrun::steering_test
