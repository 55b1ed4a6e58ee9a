#include "bulrushrun/steering/tests/FleetSimulation.h"
#include "platform/RowStoreProtocol.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// One reader of a table; the test answers its calls as a store that came back older.
class LateEpochTest : public ::testing::Test
{
protected:
  using Reader = TableFeedReader<SimulatedHost, platform::RowStoreProtocol>;

  LateEpochTest()
  {
    mSimulation.add("n1", "za");
    mReader = std::make_unique<Reader>(
      mSimulation.host("n1"),
      Endpoint{ 0x0a800000, FleetSimulation::kTargetPort },
      "servers",
      FeedTimeouts{},
      TableFeedListener{
        [this](const std::vector<StoreRow>& aRows, RecordVersion, TimePoint) { mTable = aRows; },
        [this](const std::vector<StoreRow>& aRows, TimePoint) { mChanges += aRows.size(); },
        [](bool, const std::string&) {} });
    mReader->start();
  }
  /// Answers the newest call with one row.
  void answer(const std::string& aEpoch,
              const std::string& aVersion,
              const std::string& aKey,
              bool aHasMore = false)
  {
    const Headers headers = aEpoch.empty() ? Headers{} : Headers{ { "Store-Era", aEpoch } };
    mSimulation.writeResponse(mSimulation.targetExchanges().back(),
                              200,
                              headers,
                              R"({"ver":)" + aVersion + R"(,"hasMore":)" +
                                (aHasMore ? "true" : "false") + R"(,"rows":[{"key":")" + aKey +
                                R"(","ver":1,"value":""}]})");
  }
  std::string newestCall() const
  {
    return mSimulation.exchange(mSimulation.targetExchanges().back()).mRequest.mPath;
  }

  FleetSimulation mSimulation;
  std::unique_ptr<Reader> mReader;
  std::vector<StoreRow> mTable;
  std::size_t mChanges = 0;
};

/// Guards against a table of the older epoch, in flight across the rise, that is applied after it.
TEST_F(LateEpochTest, ATableOfTheOlderEpochIsReadAgain)
{
  mReader->requireEpoch(StoreEpoch{ 1 });
  answer("", "90", "old");
  EXPECT_TRUE(mTable.empty());
  mSimulation.run(std::chrono::milliseconds(200));
  answer("1", "40", "new");
  ASSERT_EQ(mTable.size(), 1U);
  EXPECT_EQ(mTable.front().mKey, "new");
  EXPECT_EQ(mReader->version(), RecordVersion{ 40 });
}

/// Guards against a table whose first page is of one epoch and whose second page is of the next.
TEST_F(LateEpochTest, PagesOfTwoEpochsAreNotJoined)
{
  answer("", "90", "a", true);
  answer("1", "40", "b");
  EXPECT_TRUE(mTable.empty());
  answer("1", "40", "c");
  ASSERT_EQ(mTable.size(), 1U);
  EXPECT_EQ(mTable.front().mKey, "c");
}

/// Guards against following a feed whose versions have passed the old ones again, so that the store
/// does not refuse the call.
TEST_F(LateEpochTest, ChangesOfANewerEpochLeadToAReadOfTheTable)
{
  answer("", "90", "old");
  answer("1", "95", "new");
  EXPECT_EQ(mChanges, 0U);
  EXPECT_NE(newestCall().find("rows-get"), std::string::npos);
  answer("1", "95", "new");
  EXPECT_NE(newestCall().find("after=95"), std::string::npos);
}

/// Guards against the response to a feed call that was held across the rise.
TEST_F(LateEpochTest, ACallInProgressIsReplacedAndItsResponseIgnored)
{
  answer("", "90", "old");
  const ExchangeId held = mSimulation.targetExchanges().back();
  mReader->requireEpoch(StoreEpoch{ 1 });
  answer("1", "40", "new");
  mSimulation.writeResponse(
    held, 200, {}, R"({"ver":91,"rows":[{"key":"x","ver":91,"value":""}]})");
  EXPECT_EQ(mChanges, 0U);
  EXPECT_EQ(mReader->version(), RecordVersion{ 40 });
}

} // namespace
} // namespace bulrushrun::steering_test
