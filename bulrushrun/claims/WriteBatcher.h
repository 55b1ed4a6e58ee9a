#pragma once

#include "bulrushrun/claims/TransactionRateLimiter.h"
#include "bulrushrun/host/Host.h"
#include "bulrushrun/store/Platform.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace bulrushrun {

/// \brief Whether a write is sent as soon as possible.
enum class WriteUrgency
{
  Immediate,
  /// The write may wait for the next transaction.
  Deferred,
};

/// \brief Batches single conditional writes into transactions.
///
/// A transaction is sent as soon as the rate limiter allows it; writes that arrive meanwhile form
/// the next one. Deferred writes join the next transaction, or are sent after a short delay. When a
/// transaction is cancelled because the condition of some writes failed, the others are sent again.
/// Two writes of one key never share a transaction.
template<class HostType>
class WriteBatcher
{
public:
  using Callback = std::function<void(TransactionStatus)>;

  explicit WriteBatcher(HostType& aHost)
    : mHost(aHost)
  {
  }

  /// \brief Queues one write. The callback runs once, with the status of its transaction.
  void submit(TableWrite aWrite, WriteUrgency aUrgency, Callback aDone)
  {
    mQueue.push_back({ std::move(aWrite), std::move(aDone) });
    const bool full = mQueue.size() >= kMaxTransactionWrites;
    if (aUrgency == WriteUrgency::Immediate || full) {
      sendQueued();
    } else if (!mDeferredTimerArmed) {
      mDeferredTimerArmed = true;
      mHost.after(kDeferredDelay, [this] {
        mDeferredTimerArmed = false;
        sendQueued();
      });
    }
  }

  /// \brief Sets the number of transactions that this instance may send per second.
  void setRate(double aPerSecond) { mRateLimiter.setRate(aPerSecond); }

  /// \brief \returns the number of transactions sent.
  std::uint64_t transactionCount() const { return mTransactionCount; }
  /// \brief \returns the number of writes without a result.
  std::size_t backlog() const { return mQueue.size() + mInFlightCount; }

private:
  static constexpr Duration kDeferredDelay = std::chrono::milliseconds(100);

  struct Entry
  {
    TableWrite mWrite;
    Callback mDone;
  };
  using Batch = std::deque<Entry>;

  void sendQueued()
  {
    while (!mQueue.empty() && !mRateTimerArmed) {
      const Duration wait = mRateLimiter.delayUntilAllowed(mHost.now());
      if (wait == Duration{ 0 }) {
        send();
        continue;
      }
      mRateTimerArmed = true;
      mHost.after(wait, [this] {
        mRateTimerArmed = false;
        sendQueued();
      });
    }
  }

  Batch takeBatch()
  {
    std::set<std::string> keys;
    Batch batch;
    Batch remaining;
    while (!mQueue.empty()) {
      const bool fits = batch.size() < kMaxTransactionWrites;
      const bool accepted = fits && keys.insert(mQueue.front().mWrite.mKey).second;
      (accepted ? batch : remaining).push_back(std::move(mQueue.front()));
      mQueue.pop_front();
    }
    mQueue = std::move(remaining);
    return batch;
  }

  void send()
  {
    const std::shared_ptr<Batch> batch = std::make_shared<Batch>(takeBatch());
    mRateLimiter.consume(mHost.now());
    ++mTransactionCount;
    mInFlightCount += batch->size();
    Transaction transaction;
    for (const Entry& entry : *batch) {
      transaction.push_back(entry.mWrite);
    }
    mHost.platform().transact(transaction, [this, batch](const TransactionResult& aResult) {
      mInFlightCount -= batch->size();
      finish(std::move(*batch), aResult);
    });
  }

  void finish(Batch aDone, const TransactionResult& aResult)
  {
    const bool partial =
      aResult.mStatus == TransactionStatus::Conflict && aResult.mConflicts.size() == aDone.size();
    if (partial) {
      requeueOthers(aDone, aResult.mConflicts);
    }
    for (const Entry& entry : aDone) {
      entry.mDone(aResult.mStatus);
    }
    sendQueued();
  }

  /// Keeps the entries whose condition failed in \a aDone; puts the others at the front of the
  /// queue.
  void requeueOthers(Batch& aDone, const std::vector<bool>& aConflicts)
  {
    Batch failed;
    Batch retried;
    for (std::size_t i = 0; i < aDone.size(); ++i) {
      (aConflicts[i] ? failed : retried).push_back(std::move(aDone[i]));
    }
    mQueue.insert(mQueue.begin(),
                  std::make_move_iterator(retried.begin()),
                  std::make_move_iterator(retried.end()));
    aDone = std::move(failed);
  }

  HostType& mHost;
  TransactionRateLimiter mRateLimiter;
  Batch mQueue;
  std::size_t mInFlightCount = 0;
  bool mRateTimerArmed = false;
  bool mDeferredTimerArmed = false;
  std::uint64_t mTransactionCount = 0;
};

} // namespace bulrushrun
