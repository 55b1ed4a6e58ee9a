#include "bulrushrun/quotas/QuotaCoordinator.h"

#include "bulrushrun/quotas/QuotaTiming.h"

#include <algorithm>

namespace bulrushrun {

void QuotaCoordinator::setLimits(std::shared_ptr<const QuotaLimits> aLimits, TimePoint aNow)
{
  advance(aNow);
  for (auto entry = mPools.begin(); entry != mPools.end();) {
    const LimitId id{ entry->first };
    const QuotaLimit* before = mLimits->find(id);
    const QuotaLimit* after = aLimits->find(id);
    if (before != nullptr && after != nullptr && before->mName == after->mName) {
      entry->second.refill(before->mRate, capacity(*after), mFlowedIn, aNow);
      ++entry;
    } else {
      entry = mPools.erase(entry);
    }
  }
  // A limit that is new may be one that was removed a moment ago.
  mUnusedSince = mLimits->empty() ? mUnusedSince : mFlowedIn;
  mLimits = std::move(aLimits);
}

/// A part of the overage is used as additional capacity, for tokens that are held by instances that
/// have no request for them at the moment. Each coordinator gets the part of the capacity that
/// belongs to the instances that deposit with it.
double QuotaCoordinator::capacity(const QuotaLimit& aLimit) const
{
  const double whole = aLimit.mBurst + kOverageAsCapacity * mBounds.mOverage * aLimit.mRate *
                                         toSeconds(mBounds.mWindow);
  return std::max(whole * std::min(mShare, 1.0), 1.0);
}

void QuotaCoordinator::advance(TimePoint aNow)
{
  const double elapsed = std::max(toSeconds(aNow - mAdvancedAt), 0.0);
  mAdvancedAt = aNow;
  mAllowance = std::min(mAllowance + elapsed, kMaxInflow + std::min(elapsed, kMaxPending));
  const double inflow = std::min(mPending, mAllowance);
  mFlowedIn += inflow;
  mPending -= inflow;
  mAllowance = std::min(mAllowance - inflow, kMaxInflow);
}

void QuotaCoordinator::sweep(std::uint32_t aInstances, TimePoint aNow)
{
  mSweptAt = aNow;
  std::erase_if(mSessions, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastAt > QuotaTiming::silence(aInstances);
  });
  const double shareBefore = mShare;
  mShare = 0;
  for (const auto& [id, session] : mSessions) {
    mShare += session.mShare;
  }
  if (mShare < shareBefore * (1 - kMaxShareLoss)) {
    // Other coordinators may have the part of the capacity that is gone.
    mUnusedSince = mFlowedIn;
  }
  for (auto entry = mPools.begin(); entry != mPools.end();) {
    const QuotaLimit* limit = mLimits->find(LimitId{ entry->first });
    TokenPool& pool = entry->second;
    pool.refill(limit->mRate, capacity(*limit), mFlowedIn, aNow);
    entry = pool.isUnused() ? mPools.erase(entry) : std::next(entry);
  }
}

std::optional<QuotaGrant> QuotaCoordinator::onReport(const QuotaReport& aReport,
                                                     std::uint32_t aInstances,
                                                     TimePoint aNow)
{
  ++mReportsReceived;
  advance(aNow);
  if (aNow - mSweptAt >= kSweepPeriod) {
    sweep(aInstances, aNow);
  }
  const auto [found, isNew] = mSessions.try_emplace(aReport.mSession.value());
  Session& session = found->second;
  if (!isNew && aReport.mSequenceNumber <= session.mSequenceNumber) {
    return std::nullopt;
  }
  if (isNew) {
    // What was accrued before is not credited; it may be spent or deposited elsewhere.
    session.mFirstAt = aNow;
    session.mDeposited = aReport.mAccrued;
  }
  session.mSequenceNumber = aReport.mSequenceNumber;
  session.mLastAt = aNow;
  const double instances = std::max({ aReport.mInstances, aInstances, 1U });
  mShare += 1 / instances - session.mShare;
  session.mShare = 1 / instances;
  const Duration deposit = aReport.mAccrued - session.mDeposited;
  if (deposit > Duration{ 0 }) {
    session.mDeposited = aReport.mAccrued;
    const Duration credit = std::min(deposit, aNow - session.mFirstAt - session.mCredited);
    session.mCredited += credit;
    mPending = std::min(mPending + toSeconds(credit) / instances, kMaxPending);
    advance(aNow);
  }
  QuotaGrant grant{ aReport.mSession, aReport.mSequenceNumber, aReport.mSentAt, {} };
  grant.mGrants.reserve(aReport.mDemands.size());
  for (const QuotaDemand& demand : aReport.mDemands) {
    const QuotaLimit* limit = mLimits->find(demand.mLimit);
    if (limit == nullptr) {
      continue;
    }
    TokenPool& pool = mPools.try_emplace(demand.mLimit.value(), mUnusedSince).first->second;
    pool.refill(limit->mRate, capacity(*limit), mFlowedIn, aNow);
    pool.settle(aReport.mSession, demand);
    grant.mGrants.push_back(
      pool.grant(aReport.mSession, demand, limit->mRate * std::min(mShare, 1.0), aNow));
  }
  return grant;
}

std::size_t QuotaCoordinator::scarcePools() const
{
  return static_cast<std::size_t>(std::count_if(
    mPools.begin(), mPools.end(), [](const auto& aEntry) { return aEntry.second.isScarce(); }));
}

} // namespace bulrushrun
