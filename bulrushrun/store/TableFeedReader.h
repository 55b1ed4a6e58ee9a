#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/store/BufferedExchange.h"
#include "bulrushrun/store/StoreRow.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief What a follower tells its user.
struct TableFeedListener
{
  /// The whole table as of a version, after each complete read.
  std::function<void(const std::vector<StoreRow>&, RecordVersion)> mOnSnapshot;
  /// Changes in the order of their versions; none when the store said that there are none.
  std::function<void(const std::vector<StoreRow>&)> mOnChanges;
  /// The store stopped answering (false, with the reason) or answers again (true).
  std::function<void(bool, const std::string&)> mOnAvailability;
};

/// \brief Pace of a follower.
struct FeedTimeouts
{
  /// Longest time for which the store may hold a feed call without news.
  Duration mMaxWait = std::chrono::milliseconds(1000);
  /// Time beyond the wait after which a call without an answer is given up.
  Duration mSlack = std::chrono::milliseconds(600);
};

/// \brief Follows one table: reads it whole, then takes the feed of its changes.
///
/// After a failure the feed goes on from the version that was reached; only when the store no
/// longer has that history is the table read anew. A feed call that stays silent is given up,
/// because a connection that lost an answer never delivers another one.
///
/// \tparam Protocol  translator of the store's calls: makeReadRequest, makeFeedRequest and
/// parseReadResponse
template<class HostType, class Protocol>
class TableFeedReader
{
public:
  TableFeedReader(HostType& aHost,
                  const Endpoint& aStore,
                  std::string aTable,
                  FeedTimeouts aPace,
                  TableFeedListener aListener)
    : mHost(aHost)
    , mStore(aStore)
    , mTable(std::move(aTable))
    , mTimeouts(aPace)
    , mListener(std::move(aListener))
  {
  }

  /// \brief Lets the feed rest, or goes on with it from the version that was reached.
  void setActive(bool aActive)
  {
    mActive = aActive;
    if (mActive && std::exchange(mResting, false)) {
      // Learns at once whether anything changed meanwhile.
      requestFeed(Duration{ 0 });
    }
  }

  /// \brief Others told everything up to a version; the feed goes on behind it.
  void advanceTo(RecordVersion aVersion) { mVersion = std::max(mVersion, aVersion); }

  /// \brief Begins to read.
  void start() { readPage(""); }

  /// \brief \returns the version that was reached.
  RecordVersion version() const { return mVersion; }
  /// \brief \returns the calls so far that read the table.
  std::uint64_t tableReads() const { return mReads; }
  /// \brief \returns the calls so far that followed its changes.
  std::uint64_t feedCalls() const { return mFollows; }

private:
  static constexpr Duration kReadLimit = std::chrono::milliseconds(1500);
  /// Changes come in bursts; those of this span are read by one call.
  static constexpr Duration kGatherSpan = std::chrono::milliseconds(80);
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{ 4 } * 1024 * 1024;

  void readPage(const std::string& aFrom)
  {
    if (aFrom.empty()) {
      mPending.clear();
    }
    ++mReads;
    call(Protocol::makeReadRequest(mTable, aFrom), kReadLimit, [this](RowReadResult aResult) {
      onPage(std::move(aResult));
    });
  }

  void onPage(RowReadResult aResult)
  {
    if (aResult.mStatus != RowReadStatus::Ok) {
      fail(aResult.mReason, [this] { readPage(""); });
      return;
    }
    if (mPending.empty()) {
      // Changes between the pages come again with the feed.
      mVersion = aResult.mBatch.mVersion;
    }
    std::vector<StoreRow>& rows = aResult.mBatch.mRows;
    mPending.insert(mPending.end(), rows.begin(), rows.end());
    if (aResult.mBatch.mHasMore && !rows.empty()) {
      readPage(keyAfter(rows.back()));
      return;
    }
    succeed();
    mListener.mOnSnapshot(std::exchange(mPending, {}), mVersion);
    requestFeed();
  }

  void requestFeed() { requestFeed(mTimeouts.mMaxWait); }

  void requestFeed(Duration aWait)
  {
    if (!mActive) {
      mResting = true;
      return;
    }
    ++mFollows;
    call(Protocol::makeFeedRequest(mTable, mVersion, aWait),
         aWait + mTimeouts.mSlack,
         [this](RowReadResult aResult) { onFeed(std::move(aResult)); });
  }

  void onFeed(RowReadResult aResult)
  {
    if (aResult.mStatus == RowReadStatus::HistoryGone) {
      readPage("");
      return;
    }
    if (aResult.mStatus != RowReadStatus::Ok) {
      fail(aResult.mReason, [this] { requestFeed(); });
      return;
    }
    succeed();
    mVersion = std::max(mVersion, aResult.mBatch.mVersion);
    mListener.mOnChanges(aResult.mBatch.mRows);
    if (aResult.mBatch.mRows.empty()) {
      requestFeed();
    } else {
      mHost.after(kGatherSpan, [this] { requestFeed(); });
    }
  }

  void succeed()
  {
    mBackoff = kMinBackoff;
    if (!std::exchange(mAvailable, true)) {
      mListener.mOnAvailability(true, "");
    }
  }

  void fail(const std::string& aReason, std::function<void()> aAgain)
  {
    if (std::exchange(mAvailable, false)) {
      mListener.mOnAvailability(false, aReason);
    }
    const std::int64_t half = mBackoff.count() / 2;
    const Duration jitter{ static_cast<std::int64_t>(
      mHost.random().below(static_cast<std::uint64_t>(half) + 1)) };
    mHost.after(Duration{ half } + jitter, std::move(aAgain));
    mBackoff = std::min(2 * mBackoff, kMaxBackoff);
  }

  void call(HttpRequest aRequest, Duration aLimit, std::function<void(RowReadResult)> aDone)
  {
    startBufferedExchange(
      mHost,
      mStore,
      std::move(aRequest),
      aLimit,
      kMaxAnswerBytes,
      [done = std::move(aDone)](ExchangeResult aEnd, const HttpResponse& aResponse) {
        RowReadResult result;
        if (aEnd == ExchangeResult::Complete) {
          result = Protocol::parseReadResponse(aResponse);
        } else {
          result.mReason = "no answer";
        }
        done(std::move(result));
      });
  }

  HostType& mHost;
  Endpoint mStore;
  std::string mTable;
  FeedTimeouts mTimeouts;
  TableFeedListener mListener;
  std::vector<StoreRow> mPending;
  RecordVersion mVersion;
  Duration mBackoff = kMinBackoff;
  bool mAvailable = true;
  bool mActive = true;
  bool mResting = false;
  std::uint64_t mReads = 0;
  std::uint64_t mFollows = 0;
};

} // namespace bulrushrun
