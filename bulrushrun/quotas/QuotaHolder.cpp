#include "bulrushrun/quotas/QuotaHolder.h"

#include <algorithm>
#include <cmath>

namespace bulrushrun {

void QuotaHolder::setLimits(std::shared_ptr<const QuotaLimits> aLimits)
{
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    const QuotaLimit* before = mLimits->find(LimitId{ aEntry.first });
    const QuotaLimit* after = aLimits->find(LimitId{ aEntry.first });
    return before == nullptr || after == nullptr || before->mName != after->mName;
  });
  mLimits = std::move(aLimits);
}

void QuotaHolder::setMembership(const QuotaMembership& aMembership, TimePoint aNow)
{
  const bool isOtherCoordinator = aMembership.mCoordinator != mMembership.mCoordinator;
  mMembership = aMembership;
  if (isOtherCoordinator) {
    startSession(aNow);
  }
}

void QuotaHolder::startSession(TimePoint aNow)
{
  mSession = QuotaSessionId{ mRandom.next() };
  mSequenceNumber = 0;
  mHighestGrant = 0;
  mGrantBits = 0;
  mUnansweredSince.reset();
  mUrgent = true;
  if (!mAlone) {
    mDepositsFrom = aNow;
  }
  for (auto& [id, account] : mAccounts) {
    account.mTokens.reset();
    account.mAsks.clear();
    account.mKnownSpent = 0;
    account.mKnownLapsed = 0;
    account.mNoTokenUntil = aNow;
  }
}

/// Begins to spend the own accrual; reports go on without deposits.
void QuotaHolder::spendOwn(TimePoint aNow)
{
  mAlone = true;
  mDepositsFrom.reset();
  startSession(aNow);
  for (auto& [id, account] : mAccounts) {
    account.mOwn = OwnAccrual{ mRandom.unit(), std::max(aNow, mMembership.mAccruesFrom) };
  }
}

QuotaHolder::Account& QuotaHolder::account(LimitId aLimit)
{
  const auto [found, isNew] = mAccounts.try_emplace(aLimit.value());
  if (isNew && mAlone) {
    found->second.mOwn =
      OwnAccrual{ mRandom.unit(), std::max(mReportedAt, mMembership.mAccruesFrom) };
  }
  return found->second;
}

QuotaDecision QuotaHolder::admit(LimitId aLimit, Duration aMaxWait, TimePoint aNow)
{
  Account& used = account(aLimit);
  ++used.mArrivals;
  used.mUsedAt = aNow;
  mActive = true;
  if (take(aLimit, aNow)) {
    return QuotaDecision::Admitted;
  }
  if (nextTokenIn(aLimit, aNow) > aMaxWait) {
    return QuotaDecision::Refused;
  }
  mUrgent = true;
  return QuotaDecision::NoToken;
}

bool QuotaHolder::take(LimitId aLimit, TimePoint aNow)
{
  const QuotaLimit* limit = mLimits->find(aLimit);
  if (limit == nullptr) {
    return true;
  }
  Account& used = account(aLimit);
  const bool taken = used.mTokens.take(aNow) || (mAlone && takeOwn(*limit, used, aNow));
  mCounters.mLapsed += used.mTokens.takeNewlyLapsed();
  mCounters.mTaken += taken ? 1 : 0;
  return taken;
}

bool QuotaHolder::takeOwn(const QuotaLimit& aLimit, Account& aAccount, TimePoint aNow)
{
  if (aNow < mMembership.mAccruesFrom) {
    return false;
  }
  const double instances = mMembership.mInstances;
  const bool taken = aAccount.mOwn.take(aLimit.mRate / instances, aLimit.mBurst / instances, aNow);
  mCounters.mOwn += taken ? 1 : 0;
  return taken;
}

void QuotaHolder::giveBack(LimitId aLimit, TimePoint aTakenAt, TimePoint aNow)
{
  const TimePoint expires = aTakenAt + QuotaTiming::kReuseTime;
  if (mLimits->find(aLimit) != nullptr && expires > aNow) {
    account(aLimit).mTokens.giveBack(expires);
    ++mCounters.mGivenBack;
  }
}

Duration QuotaHolder::nextTokenIn(LimitId aLimit, TimePoint aNow)
{
  const QuotaLimit* limit = mLimits->find(aLimit);
  const auto found = mAccounts.find(aLimit.value());
  if (limit == nullptr || found == mAccounts.end()) {
    return Duration{ 0 };
  }
  if (mAlone) {
    return found->second.mOwn.nextTokenIn(limit->mRate / mMembership.mInstances);
  }
  return std::max(found->second.mNoTokenUntil - aNow, Duration{ 0 });
}

void QuotaHolder::addWaiting(LimitId aLimit, int aRequests)
{
  Account& used = account(aLimit);
  used.mWaiting =
    static_cast<std::uint32_t>(std::max(static_cast<int>(used.mWaiting) + aRequests, 0));
}

std::size_t QuotaHolder::scarceLimits() const
{
  return static_cast<std::size_t>(std::count_if(
    mAccounts.begin(), mAccounts.end(), [](const auto& aEntry) { return aEntry.second.mScarce; }));
}

std::uint64_t QuotaHolder::tokensHeld(TimePoint aNow)
{
  std::uint64_t held = 0;
  for (auto& [id, used] : mAccounts) {
    held += used.mTokens.available(aNow);
  }
  return held;
}

} // namespace bulrushrun
