#pragma once

#include "bulrushrun/store/TableFeedReader.h"

/// \file
/// \brief TableFeedReader: calls to the store, their failures and epochs.

namespace bulrushrun {

/// Gives up a read of the table that may have no end.
template<class HostType, class Protocol>
void TableFeedReader<HostType, Protocol>::rejectTable(const char* aReason)
{
  mHost.log(events::kTableRejected,
            "table=" + mTable + " reason=\"" + aReason + "\" bytes=" +
              std::to_string(mPendingBytes) + " rows=" + std::to_string(mPendingRows.size()));
  mPendingRows = {};
  mPendingBytes = 0;
  mBackoff = kFaultyTableDelay;
  onFailure(aReason, [this] { readPage(""); });
}

template<class HostType, class Protocol>
void TableFeedReader<HostType, Protocol>::onFailure(const std::string& aReason,
                                                    std::function<void()> aRetry)
{
  mFailing = true;
  if (std::exchange(mAvailable, false)) {
    mListener.mOnAvailability(false, aReason);
  }
  const std::int64_t half = mBackoff.count() / 2;
  const Duration jitter{ static_cast<std::int64_t>(
    mHost.random().below(static_cast<std::uint64_t>(half) + 1)) };
  mReading = false;
  mHost.after(Duration{ half } + jitter, [this, call = mCall, retry = std::move(aRetry)] {
    if (call == mCall) {
      retry();
    }
  });
  mBackoff = std::min(2 * mBackoff, kMaxBackoff);
}

template<class HostType, class Protocol>
bool TableFeedReader<HostType, Protocol>::raiseRequiredEpoch(StoreEpoch aEpoch)
{
  if (aEpoch <= mRequiredEpoch) {
    return false;
  }
  mRequiredEpoch = aEpoch;
  // The store may have started anew, and its clock with it.
  mStoreClock = {};
  return true;
}

/// \returns false when the table is read again instead of handling the response.
template<class HostType, class Protocol>
bool TableFeedReader<HostType, Protocol>::checkEpoch(RowReadResult& aResult)
{
  if (raiseRequiredEpoch(aResult.mEpoch)) {
    if (mListener.mOnNewEpoch) {
      mListener.mOnNewEpoch(aResult.mEpoch);
    }
    if (!mReading) {
      readPage("");
      return false;
    }
  } else if (aResult.mEpoch < mRequiredEpoch && aResult.mStatus != RowReadStatus::Unavailable) {
    mHost.log(events::kStaleResponseDiscarded,
              "table=" + mTable + " epoch=" + std::to_string(aResult.mEpoch.value()) +
                " known=" + std::to_string(mRequiredEpoch.value()));
    aResult = {};
    aResult.mReason = "the response is of an older epoch";
  }
  return true;
}

template<class HostType, class Protocol>
void TableFeedReader<HostType, Protocol>::call(HttpRequest aRequest,
                                               Duration aTimeout,
                                               std::function<void(RowReadResult)> aDone)
{
  mCalledAt = mHost.now();
  ++mCall;
  startBufferedExchange(
    mHost,
    mStore,
    std::move(aRequest),
    aTimeout,
    kMaxResponseBytes,
    [this, call = mCall, done = std::move(aDone)](ExchangeResult aExchangeResult,
                                                  const HttpResponse& aResponse) {
      if (call != mCall) {
        // The table has been read again in place of this call.
        return;
      }
      RowReadResult result;
      if (aExchangeResult == ExchangeResult::Complete) {
        result = Protocol::parseReadResponse(aResponse);
        if (result.mUnreadableRows > 0) {
          mUnreadableRows += result.mUnreadableRows;
          mHost.log(events::kRowsUnreadable,
                    "table=" + mTable + " rows=" + std::to_string(result.mUnreadableRows));
        }
      } else {
        result.mReason = "no response";
        mHost.log(events::kTransferInterrupted,
                  "source=store table=" + mTable +
                    " bytes=" + std::to_string(aResponse.mBody.size()) +
                    " ms=" + std::to_string(toMillis(mHost.now() - mCalledAt)));
      }
      if (checkEpoch(result)) {
        done(std::move(result));
      }
    });
}

} // namespace bulrushrun
