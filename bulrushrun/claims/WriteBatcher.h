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

/// \brief Whether a write should go out at once.
enum class WriteUrgency
{
  Immediate,
  /// It may wait for a transaction that goes anyway.
  Deferred,
};

/// \brief Gathers single conditional writes into transactions.
///
/// A transaction goes out at once while the pacer allows it; writes that come meanwhile form the
/// next one. Writes that can wait ride on the next transaction, or go after a short delay. When a
/// transaction is cancelled for one write's condition, the others go out again. Two writes of one
/// key never share a transaction.
template<class HostType>
class WriteBatcher
{
public:
  using Callback = std::function<void(TransactionStatus)>;

  explicit WriteBatcher(HostType& aHost)
    : mHost(aHost)
  {
  }

  /// \brief Queues one write. The callback runs once, with what is known of its effect.
  void submit(TableWrite aWrite, WriteUrgency aUrgency, Callback aDone)
  {
    mWaiting.push_back({ std::move(aWrite), std::move(aDone) });
    const bool full = mWaiting.size() >= kMaxTransactionWrites;
    if (aUrgency == WriteUrgency::Immediate || full) {
      pump();
    } else if (!mLazyArmed) {
      mLazyArmed = true;
      mHost.after(kDeferredDelay, [this] {
        mLazyArmed = false;
        pump();
      });
    }
  }

  /// \brief Sets the transactions that this instance may send per second.
  void setRate(double aPerSecond) { mRateLimiter.setRate(aPerSecond); }

  /// \brief \returns how many transactions were sent.
  std::uint64_t transactionCount() const { return mTransactionCount; }
  /// \brief \returns how many writes have no answer yet.
  std::size_t backlog() const { return mWaiting.size() + mInFlightCount; }

private:
  static constexpr Duration kDeferredDelay = std::chrono::milliseconds(100);

  struct Entry
  {
    TableWrite mWrite;
    Callback mDone;
  };
  using Batch = std::deque<Entry>;

  void pump()
  {
    while (!mWaiting.empty() && !mTimerArmed) {
      const Duration wait = mRateLimiter.delayUntilAllowed(mHost.now());
      if (wait == Duration{ 0 }) {
        send();
        continue;
      }
      mTimerArmed = true;
      mHost.after(wait, [this] {
        mTimerArmed = false;
        pump();
      });
    }
  }

  Batch gather()
  {
    std::set<std::string> keys;
    Batch batch;
    Batch later;
    while (!mWaiting.empty()) {
      const bool fits = batch.size() < kMaxTransactionWrites;
      const bool single = fits && keys.insert(mWaiting.front().mWrite.mKey).second;
      (single ? batch : later).push_back(std::move(mWaiting.front()));
      mWaiting.pop_front();
    }
    mWaiting = std::move(later);
    return batch;
  }

  void send()
  {
    const std::shared_ptr<Batch> batch = std::make_shared<Batch>(gather());
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
    pump();
  }

  /// Keeps the entries whose condition failed; the others go to the front of the queue.
  void requeueOthers(Batch& aDone, const std::vector<bool>& aConflicts)
  {
    Batch failed;
    Batch again;
    for (std::size_t i = 0; i < aDone.size(); ++i) {
      (aConflicts[i] ? failed : again).push_back(std::move(aDone[i]));
    }
    mWaiting.insert(mWaiting.begin(),
                    std::make_move_iterator(again.begin()),
                    std::make_move_iterator(again.end()));
    aDone = std::move(failed);
  }

  HostType& mHost;
  TransactionRateLimiter mRateLimiter;
  Batch mWaiting;
  std::size_t mInFlightCount = 0;
  bool mTimerArmed = false;
  bool mLazyArmed = false;
  std::uint64_t mTransactionCount = 0;
};

} // namespace bulrushrun
