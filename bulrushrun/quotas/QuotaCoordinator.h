#pragma once

#include "bulrushrun/quotas/TokenPool.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace bulrushrun {

/// \brief Pools of the tokens of all limits, for the instances that deposit their time here.
///
/// Tokens are created only from the time that instances deposit. A session's deposits are at most
/// the time since its first report, and all deposits together flow in no faster than time passes,
/// so that late reports cause no burst.
class QuotaCoordinator
{
public:
  explicit QuotaCoordinator(QuotaBounds aBounds = {})
    : mBounds(aBounds)
  {
  }

  void setBounds(const QuotaBounds& aBounds) { mBounds = aBounds; }
  /// \brief Takes the limits of the configuration in force; lowered ones bind at once.
  void setLimits(std::shared_ptr<const QuotaLimits> aLimits, TimePoint aNow);

  /// \brief Handles a report. \returns the grant, or nothing for a repeated or overtaken report
  /// \param aInstances  number of instances that this one knows
  std::optional<QuotaGrant> onReport(const QuotaReport& aReport,
                                     std::uint32_t aInstances,
                                     TimePoint aNow);

  std::uint64_t reportsReceived() const { return mReportsReceived; }
  /// \brief \returns the number of limits whose pool is scarce.
  std::size_t scarcePools() const;
  std::size_t sessions() const { return mSessions.size(); }
  /// \brief \returns the fraction of the fleet that deposits here.
  double share() const { return mShare; }

private:
  struct Session
  {
    std::uint64_t mSequenceNumber = 0;
    TimePoint mFirstAt;
    TimePoint mLastAt;
    /// Accrued time that was reported, and the part of it that was credited.
    Duration mDeposited{ 0 };
    Duration mCredited{ 0 };
    double mShare = 0;
  };

  /// Seconds of the fleet's accrual that may flow in at once after a pause, and that may wait.
  static constexpr double kMaxInflow = 0.1;
  static constexpr double kMaxPending = 0.25;
  /// Part of the overage that is used as capacity; the rest covers tokens that are not accounted
  /// for.
  static constexpr double kOverageAsCapacity = 0.2;
  /// Part of the share by which it may decrease without effect on pools that are not in use.
  static constexpr double kMaxShareLoss = 0.05;
  static constexpr Duration kSweepPeriod = std::chrono::milliseconds(250);

  void advance(TimePoint aNow);
  void sweep(std::uint32_t aInstances, TimePoint aNow);
  double capacity(const QuotaLimit& aLimit) const;

  QuotaBounds mBounds;
  std::shared_ptr<const QuotaLimits> mLimits = std::make_shared<const QuotaLimits>();
  std::unordered_map<std::uint64_t, Session> mSessions;
  std::unordered_map<std::uint64_t, TokenPool> mPools;
  /// Seconds of the fleet's accrual: deposited and not yet flowed in, allowed to flow in, and
  /// flowed in.
  double mPending = 0;
  double mAllowance = 0;
  double mFlowedIn = 0;
  /// Value of mFlowedIn from which pools without demand have been filling.
  double mUnusedSince = 0;
  double mShare = 0;
  TimePoint mAdvancedAt;
  TimePoint mSweptAt;
  std::uint64_t mReportsReceived = 0;
};

} // namespace bulrushrun
