#pragma once

#include "bulrushrun/quotas/OwnAccrual.h"
#include "bulrushrun/quotas/QuotaMessage.h"
#include "bulrushrun/quotas/TokenAccount.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief The fleet, as far as quotas depend on it.
struct QuotaMembership
{
  /// Known instances, those considered dead included.
  std::uint32_t mInstances = 1;
  /// Hash of the identity of the coordinator, or nothing when there is none.
  std::optional<std::uint64_t> mCoordinator;
  /// When this instance may begin to accrue.
  TimePoint mAccruesFrom;
};

/// \brief Decision about one request.
enum class QuotaDecision
{
  Admitted,
  /// A token may come soon.
  NoToken,
  Refused,
  /// The other instances are not known yet, so that nothing is known of the quota either.
  NotJoined,
};

/// \brief Counts of one instance since its start.
struct QuotaCounters
{
  std::uint64_t mGranted = 0;
  std::uint64_t mTaken = 0;
  std::uint64_t mOwn = 0;
  std::uint64_t mGivenBack = 0;
  std::uint64_t mLapsed = 0;
  std::uint64_t mReportsSent = 0;
  std::uint64_t mGrantsReceived = 0;
};

/// \brief Tokens of one instance: asks the coordinator for them, and spends its own accrual while
/// the coordinator does not respond.
class QuotaHolder
{
public:
  /// \param aSelf  where to send grants
  /// \param aSeed  must differ between instances and between their starts
  QuotaHolder(const Endpoint& aSelf, std::uint64_t aSeed)
    : mSelf(aSelf)
    , mRandom(aSeed)
  {
  }

  void setLimits(std::shared_ptr<const QuotaLimits> aLimits);
  /// \brief Takes a changed membership. Another coordinator means another session.
  void setMembership(const QuotaMembership& aMembership, TimePoint aNow);

  /// \brief Counts a new request, and takes a token for it if there is one.
  QuotaDecision admit(LimitId aLimit, Duration aMaxWait, TimePoint aNow);
  /// \brief Takes a token for a request that is known already. \returns false when there is none
  bool take(LimitId aLimit, TimePoint aNow);
  /// \brief Returns the token of a request that was not executed. \param aTakenAt  when it was
  /// taken
  void giveBack(LimitId aLimit, TimePoint aTakenAt, TimePoint aNow);
  /// \brief \returns the time after which a token is expected.
  Duration nextTokenIn(LimitId aLimit, TimePoint aNow);
  /// \brief Counts a request that begins (+1) or ends (-1) to wait for a token.
  void addWaiting(LimitId aLimit, int aRequests);

  /// \brief \returns when the next report is due.
  TimePoint nextReportAt() const;
  /// \brief \returns the reports to send now, each for one message.
  std::vector<QuotaReport> makeReports(TimePoint aNow);
  /// \brief Handles a grant. \returns the limits for which it brings tokens or the time of the next
  /// one
  std::vector<LimitId> onGrant(const QuotaGrant& aGrant, TimePoint aNow);

  const QuotaMembership& membership() const { return mMembership; }
  /// \brief \returns true while this instance spends its own accrual.
  bool isAlone() const { return mAlone; }
  Duration roundTrip() const { return mRoundTrip; }
  const QuotaCounters& counters() const { return mCounters; }
  /// \brief \returns the number of limits whose pool was scarce in the last grant.
  std::size_t scarceLimits() const;
  std::uint64_t tokensHeld(TimePoint aNow);

private:
  /// Tokens asked for in one report.
  struct Ask
  {
    std::uint64_t mReportNumber = 0;
    std::uint32_t mWaiting = 0;
    std::uint32_t mOther = 0;
    TimePoint mAt;
  };

  struct Account
  {
    TokenAccount mTokens;
    OwnAccrual mOwn;
    /// Requests per second, smoothed, and those since the last report.
    double mRate = 0;
    std::uint32_t mArrivals = 0;
    std::uint32_t mWaiting = 0;
    /// Demands that were not yet answered.
    std::vector<Ask> mAsks;
    TimePoint mUsedAt;
    bool mScarce = false;
    TimePoint mNoTokenUntil;
    /// Counts in the last report, and whether the coordinator has them.
    std::uint64_t mReportNumber = 0;
    std::uint64_t mReportedSpent = 0;
    std::uint64_t mReportedLapsed = 0;
    std::uint64_t mKnownSpent = 0;
    std::uint64_t mKnownLapsed = 0;
  };

  static constexpr Duration kRateMemory = std::chrono::milliseconds(500);
  /// Time after which an unanswered demand is repeated.
  static constexpr Duration kAskTimeout = std::chrono::milliseconds(150);
  /// Time after its last request for which an instance asks for spare tokens of a limit.
  static constexpr Duration kSpareMemory = std::chrono::seconds(5);
  static constexpr double kMinPeriodFactor = 0.5;
  static constexpr Duration kAccountRetention = std::chrono::seconds(60);

  void startSession(TimePoint aNow);
  void spendOwn(TimePoint aNow);
  Account& account(LimitId aLimit);
  bool takeOwn(const QuotaLimit& aLimit, Account& aAccount, TimePoint aNow);
  std::optional<QuotaDemand> demand(LimitId aLimit,
                                    Account& aAccount,
                                    std::uint64_t aReportNumber,
                                    TimePoint aNow);
  bool isFirstReceipt(std::uint64_t aSequenceNumber);

  Endpoint mSelf;
  Random mRandom;
  std::shared_ptr<const QuotaLimits> mLimits = std::make_shared<const QuotaLimits>();
  QuotaMembership mMembership;
  std::unordered_map<std::uint64_t, Account> mAccounts;
  QuotaSessionId mSession;
  std::uint64_t mSequenceNumber = 0;
  /// Grants received: the highest number, and bit i for that number minus i.
  std::uint64_t mHighestGrant = 0;
  std::uint64_t mGrantBits = 0;
  /// When the deposits of the session began; nothing while the coordinator has not responded.
  std::optional<TimePoint> mDepositsFrom;
  bool mAlone = false;
  /// Time of the first report that got no grant.
  std::optional<TimePoint> mUnansweredSince;
  TimePoint mReportedAt;
  /// Factor of the report period, so that the instances' reports do not arrive together.
  double mPeriodFactor = 1;
  bool mUrgent = false;
  bool mActive = false;
  Duration mRoundTrip = std::chrono::milliseconds(50);
  QuotaCounters mCounters;
};

} // namespace bulrushrun
