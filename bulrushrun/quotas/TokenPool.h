#pragma once

#include "bulrushrun/quotas/QuotaMessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace bulrushrun {

/// \brief Tokens of one limit at the coordinator.
///
/// The tokens in the pool and those granted whose use is not known yet are together at most the
/// capacity, so that the tokens that can be spent in any period are at most the capacity plus those
/// created in the period, however long granted tokens stay valid.
class TokenPool
{
public:
  /// \param aDeposited  seconds of the whole fleet's accrual that were deposited when the pool was
  /// empty
  explicit TokenPool(double aDeposited)
    : mDeposited(aDeposited)
  {
  }

  /// \brief Adds the tokens for the time deposited since the last call, and cuts the pool to the
  /// capacity.
  /// \param aCapacity  tokens that the pool and the instances together may hold
  void refill(double aRate, double aCapacity, double aDeposited, TimePoint aNow);

  /// \brief Takes what an instance reports of its tokens. Unknown or decreased counts become the
  /// baseline of the following ones.
  void settle(QuotaSessionId aSession, const QuotaDemand& aDemand);

  /// \brief Grants tokens; call refill() and settle() before.
  /// \param aFlow  tokens per second that are deposited at present
  TokenGrant grant(QuotaSessionId aSession,
                   const QuotaDemand& aDemand,
                   double aFlow,
                   TimePoint aNow);

  double level() const { return mLevel; }
  /// \brief \returns the tokens granted whose use is not known yet.
  std::uint64_t outstanding() const { return mOutstanding; }
  bool isScarce() const { return mLevel < mCapacity / 2; }
  /// \brief \returns true when the pool is full and no instance has asked for tokens recently.
  bool isUnused() const { return mHoldings.empty() && mLevel >= mCapacity; }

private:
  /// Period over which the needs of all instances are added up.
  static constexpr Duration kNeedMemory = std::chrono::milliseconds(300);
  static constexpr Duration kSweepPeriod = std::chrono::milliseconds(250);
  static constexpr Duration kIdleRetention = std::chrono::seconds(30);
  static constexpr Duration kMaxNextToken = std::chrono::seconds(2);

  /// Tokens granted at one time whose use is not known yet.
  struct Granted
  {
    TimePoint mAt;
    std::uint64_t mTokens = 0;
  };
  /// One instance, in one session.
  struct Holding
  {
    bool mKnown = false;
    std::uint64_t mSpent = 0;
    std::uint64_t mLapsed = 0;
    std::deque<Granted> mGranted;
    std::uint64_t mNeeded = 0;
    TimePoint mAskedAt;
  };

  /// Removes up to a number of tokens from the oldest grants. \returns how many were removed
  std::uint64_t resolve(Holding& aHolding, std::uint64_t aTokens);
  void sweep(TimePoint aNow);

  double mLevel = 0;
  double mCapacity = 0;
  double mDeposited;
  std::uint64_t mOutstanding = 0;
  std::uint64_t mNeeded = 0;
  TimePoint mSweptAt;
  std::unordered_map<std::uint64_t, Holding> mHoldings;
};

} // namespace bulrushrun
