#pragma once

#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Http.h"
#include "bulrushrun/store/BufferedExchange.h"
#include "bulrushrun/store/StoreClock.h"
#include "bulrushrun/store/StoreRow.h"
#include "bulrushrun/store/TableFeedListener.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Reads a table completely and then its change feed.
///
/// After a failure, the feed resumes at the version that was reached; the table is read again only
/// when the store no longer has that history, or has come back at a newer epoch. Responses of an
/// epoch that is older than a known one are discarded. A feed call without a response is aborted,
/// because a connection that lost a response never delivers another one.
///
/// \tparam Protocol  encoding of the store's calls: makeReadRequest, makeFeedRequest and
/// parseReadResponse
template<class HostType, class Protocol>
class TableFeedReader
{
public:
  TableFeedReader(HostType& aHost,
                  const Endpoint& aStore,
                  std::string aTable,
                  FeedTimeouts aTimeouts,
                  TableFeedListener aListener)
    : mHost(aHost)
    , mStore(aStore)
    , mTable(std::move(aTable))
    , mTimeouts(aTimeouts)
    , mListener(std::move(aListener))
  {
  }

  /// \brief Suspends the feed, or resumes it at the version that was reached.
  void setActive(bool aActive)
  {
    mActive = aActive;
    if (mActive && std::exchange(mSuspended, false)) {
      mFailing = false;
      // Without a wait, to learn at once whether anything changed in the meantime.
      requestFeed(Duration{ 0 });
    }
  }

  /// \brief Reads the table again, after the call in progress if there is one.
  void readAgain()
  {
    mTableRequested = true;
    if (std::exchange(mSuspended, false)) {
      requestFeed();
    }
  }

  /// \brief Reads the table again, in place of the call in progress, if it has not reached an epoch
  /// of which another source reported; older responses are discarded from now on.
  void requireEpoch(StoreEpoch aEpoch)
  {
    if (!raiseRequiredEpoch(aEpoch) || mReading) {
      // A read in progress starts again when its pages are of different epochs.
      return;
    }
    mSuspended = false;
    readPage("");
  }

  /// \brief \returns true when the last call to the store failed, since the feed was resumed.
  bool isFailing() const { return mFailing; }

  /// \brief Skips changes up to a version, all of which were received from peers.
  void advanceTo(StoreEpoch aEpoch, RecordVersion aVersion)
  {
    if (aEpoch > mEpoch) {
      mVersion = aVersion;
      mEpoch = aEpoch;
    } else if (aEpoch == mEpoch) {
      mVersion = std::max(mVersion, aVersion);
    }
  }

  /// \brief Starts to read the table.
  void start() { readPage(""); }

  /// \brief \returns the epoch of the version that was reached.
  StoreEpoch epoch() const { return mEpoch; }
  /// \brief \returns the version that was reached.
  RecordVersion version() const { return mVersion; }
  /// \brief \returns the number of calls that read the table.
  std::uint64_t tableReads() const { return mTableReads; }
  /// \brief \returns the number of calls that read the change feed.
  std::uint64_t feedCalls() const { return mFeedCalls; }
  /// \brief \returns the number of rows that were left out because they could not be read.
  std::uint64_t unreadableRows() const { return mUnreadableRows; }

private:
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1500);
  /// Changes come in bursts; the next call waits for this time to read a burst at once.
  static constexpr Duration kBurstDelay = std::chrono::milliseconds(80);
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 4 } * 1024 * 1024;
  /// Keys and values of all pages of a table.
  static constexpr std::size_t kMaxTableBytes = std::size_t{ 32 } * 1024 * 1024;
  /// Delay until a table that is too large, or whose pages repeat, is read again.
  static constexpr Duration kFaultyTableDelay = std::chrono::seconds(10);

  void readPage(const std::string& aFrom)
  {
    if (aFrom.empty()) {
      mPendingRows = {};
      mPendingBytes = 0;
    }
    ++mTableReads;
    mReading = true;
    call(Protocol::makeReadRequest(mTable, aFrom), kReadTimeout, [this](RowReadResult aResult) {
      onPage(std::move(aResult));
    });
  }

  void onPage(RowReadResult aResult)
  {
    if (aResult.mStatus != RowReadStatus::Ok) {
      onFailure(aResult.mReason, [this] { readPage(""); });
      return;
    }
    if (!mPendingRows.empty() && aResult.mEpoch != mSnapshotEpoch) {
      // The pages before are of an older epoch.
      readPage("");
      return;
    }
    if (mPendingRows.empty()) {
      mSnapshotEpoch = aResult.mEpoch;
      // The version of the first page: changes between the pages are repeated by the feed.
      mSnapshotVersion = aResult.mBatch.mVersion;
      mSnapshotMadeAt = madeAt(aResult);
    }
    std::vector<StoreRow>& rows = aResult.mBatch.mRows;
    const bool hasMore = aResult.mBatch.mHasMore && !rows.empty();
    const bool repeats =
      !rows.empty() && !mPendingRows.empty() && rows.back().mKey <= mPendingRows.back().mKey;
    for (StoreRow& row : rows) {
      mPendingBytes += sizeof(StoreRow) + row.mKey.size() + row.mValue.size();
      mPendingRows.push_back(std::move(row));
    }
    if (repeats || mPendingBytes > kMaxTableBytes) {
      rejectTable(repeats ? "the pages of the table repeat" : "the table exceeds its limit");
      return;
    }
    if (hasMore) {
      readPage(keyAfter(mPendingRows.back()));
      return;
    }
    onSuccess();
    advanceTo(mSnapshotEpoch, mSnapshotVersion);
    mReading = false;
    mListener.mOnSnapshot(std::exchange(mPendingRows, {}), mSnapshotVersion, mSnapshotMadeAt);
    requestFeed();
  }

  void rejectTable(const char* aReason);

  void requestFeed() { requestFeed(mTimeouts.mMaxWait); }

  void requestFeed(Duration aWait)
  {
    if (std::exchange(mTableRequested, false)) {
      readPage("");
      return;
    }
    if (!mActive) {
      mSuspended = true;
      return;
    }
    ++mFeedCalls;
    call(Protocol::makeFeedRequest(mTable, mVersion, aWait),
         aWait + mTimeouts.mTransferAllowance,
         [this](RowReadResult aResult) { onFeed(std::move(aResult)); });
  }

  void onFeed(RowReadResult aResult)
  {
    if (aResult.mStatus == RowReadStatus::HistoryCompacted) {
      readPage("");
      return;
    }
    if (aResult.mStatus != RowReadStatus::Ok) {
      onFailure(aResult.mReason, [this] { requestFeed(); });
      return;
    }
    onSuccess();
    mVersion = std::max(mVersion, aResult.mBatch.mVersion);
    mListener.mOnChanges(aResult.mBatch.mRows, madeAt(aResult));
    if (aResult.mBatch.mRows.empty()) {
      requestFeed();
    } else {
      mHost.after(kBurstDelay, [this, call = mCall] {
        if (call == mCall) {
          requestFeed();
        }
      });
    }
  }

  TimePoint madeAt(const RowReadResult& aResult)
  {
    return mStoreClock.madeAt(aResult.mBatch.mStoreTime, mCalledAt, mHost.now());
  }

  void onSuccess()
  {
    mBackoff = kMinBackoff;
    mFailing = false;
    if (!std::exchange(mAvailable, true)) {
      mListener.mOnAvailability(true, "");
    }
  }

  void onFailure(const std::string& aReason, std::function<void()> aRetry);
  bool raiseRequiredEpoch(StoreEpoch aEpoch);
  bool checkEpoch(RowReadResult& aResult);
  void call(HttpRequest aRequest, Duration aTimeout, std::function<void(RowReadResult)> aDone);

  HostType& mHost;
  Endpoint mStore;
  std::string mTable;
  FeedTimeouts mTimeouts;
  TableFeedListener mListener;
  std::vector<StoreRow> mPendingRows;
  std::size_t mPendingBytes = 0;
  /// Newest epoch that any source reported.
  StoreEpoch mRequiredEpoch;
  /// Epoch of mVersion.
  StoreEpoch mEpoch;
  RecordVersion mVersion;
  StoreEpoch mSnapshotEpoch;
  /// Version of the read in progress. Peers may advance mVersion meanwhile.
  RecordVersion mSnapshotVersion;
  TimePoint mSnapshotMadeAt;
  TimePoint mCalledAt;
  StoreClock mStoreClock;
  Duration mBackoff = kMinBackoff;
  bool mAvailable = true;
  bool mFailing = false;
  bool mActive = true;
  bool mSuspended = false;
  bool mTableRequested = false;
  /// The table is being read, unless the last call of the read failed.
  bool mReading = false;
  /// Number of the last call; callbacks of earlier ones do nothing.
  std::uint64_t mCall = 0;
  std::uint64_t mTableReads = 0;
  std::uint64_t mFeedCalls = 0;
  std::uint64_t mUnreadableRows = 0;
};

} // namespace bulrushrun

// Calls to the store, their failures and epochs.
#include "bulrushrun/store/TableFeedReaderCalls.h"
