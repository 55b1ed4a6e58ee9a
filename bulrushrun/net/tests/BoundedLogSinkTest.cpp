#include "bulrushrun/net/BoundedLogSink.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

namespace bulrushrun {
namespace {

/// Guards against an instance that blocks because nothing reads the pipe its log goes to.
class BoundedLogSinkTest : public ::testing::Test
{
protected:
  BoundedLogSinkTest() { EXPECT_EQ(::pipe(mPipe.data()), 0); }
  ~BoundedLogSinkTest() override
  {
    ::close(mPipe[0]);
    ::close(mPipe[1]);
  }
  std::string read() const
  {
    std::string text(1 << 20, '\0');
    text.resize(
      static_cast<std::size_t>(std::max<ssize_t>(::read(mPipe[0], text.data(), text.size()), 0)));
    return text;
  }

  std::array<int, 2> mPipe{};
  TimePoint mNow{ std::chrono::seconds(100) };
};

TEST_F(BoundedLogSinkTest, DropsLinesWhenTheReaderStops)
{
  BoundedLogSink sink{ mPipe[1] };
  for (int i = 0; i < 2000; ++i) {
    mNow += std::chrono::milliseconds(100);
    sink.write(std::string(200, 'x') + "\n", mNow);
  }
  EXPECT_GT(sink.droppedLines(), 0U);
  const std::uint64_t dropped = sink.droppedLines();
  read();
  sink.write("again\n", mNow);
  EXPECT_EQ(read(), "lines left out=" + std::to_string(dropped) + "\nagain\n");
}

TEST_F(BoundedLogSinkTest, LimitsLinesPerSecond)
{
  BoundedLogSink sink{ mPipe[1] };
  for (int i = 0; i < 5000; ++i) {
    sink.write("x\n", mNow);
  }
  EXPECT_EQ(sink.droppedLines(),
            5000U - static_cast<std::uint64_t>(BoundedLogSink::kLinesPerSecond));
}

TEST_F(BoundedLogSinkTest, TruncatesOverlongLines)
{
  BoundedLogSink sink{ mPipe[1] };
  sink.write(std::string(100'000, 'x') + "\n", mNow);
  const std::string text = read();
  EXPECT_EQ(text.size(), 4096U);
  EXPECT_EQ(text.back(), '\n');
}

} // namespace
} // namespace bulrushrun
