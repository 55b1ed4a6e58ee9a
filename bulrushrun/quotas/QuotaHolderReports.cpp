#include "bulrushrun/quotas/QuotaHolder.h"

#include <algorithm>
#include <cmath>

/// \file
/// \brief QuotaHolder: reports to the coordinator, and its grants.

namespace bulrushrun {

TimePoint QuotaHolder::nextReportAt() const
{
  const Duration period = QuotaTiming::reportPeriod(mMembership.mInstances);
  if (mUrgent && !mAlone) {
    return mReportedAt + QuotaTiming::kMinReportGap;
  }
  const bool isBusy = mActive || mUnansweredSince;
  const Duration regular = isBusy ? period : QuotaTiming::idlePeriod(mMembership.mInstances);
  return mReportedAt + fromSeconds(toSeconds(regular) * mPeriodFactor);
}

std::vector<QuotaReport> QuotaHolder::makeReports(TimePoint aNow)
{
  if (!mMembership.mCoordinator) {
    if (!mAlone) {
      spendOwn(aNow);
    }
    mReportedAt = aNow;
    return {};
  }
  const Duration silence =
    std::max(fromSeconds(1), QuotaTiming::reportPeriod(mMembership.mInstances) * 3);
  if (!mAlone && mUnansweredSince && aNow - *mUnansweredSince >= silence) {
    spendOwn(aNow);
  }
  QuotaReport report;
  report.mSession = mSession;
  report.mSender = mSelf;
  report.mSentAt = aNow;
  report.mInstances = mMembership.mInstances;
  if (mDepositsFrom) {
    const TimePoint from = std::max(*mDepositsFrom, mMembership.mAccruesFrom);
    report.mAccrued = std::max(aNow - from, Duration{ 0 });
  }
  std::vector<QuotaReport> reports;
  mActive = false;
  for (auto entry = mAccounts.begin(); entry != mAccounts.end();) {
    Account& used = entry->second;
    const bool isFull = reports.empty() || reports.back().mDemands.size() >= kMaxDemandsPerReport;
    const std::uint64_t number = mSequenceNumber + (isFull ? 1 : 0);
    const std::optional<QuotaDemand> wanted = demand(LimitId{ entry->first }, used, number, aNow);
    mActive = mActive || wanted || aNow - used.mUsedAt < kSpareMemory;
    if (wanted) {
      if (isFull) {
        reports.push_back(report);
        reports.back().mSequenceNumber = ++mSequenceNumber;
      }
      used.mReportNumber = mSequenceNumber;
      reports.back().mDemands.push_back(*wanted);
    }
    const bool isOld = !wanted && used.mWaiting == 0 && aNow - used.mUsedAt > kAccountRetention;
    entry = isOld ? mAccounts.erase(entry) : std::next(entry);
  }
  if (reports.empty()) {
    reports.push_back(report);
    reports.back().mSequenceNumber = ++mSequenceNumber;
  }
  mUnansweredSince = mUnansweredSince.value_or(aNow);
  mReportedAt = aNow;
  mPeriodFactor = kMinPeriodFactor + (1 - kMinPeriodFactor) * mRandom.unit();
  mUrgent = false;
  mCounters.mReportsSent += reports.size();
  return reports;
}

/// \returns what the next report says about a limit, or nothing when no field changed.
std::optional<QuotaDemand> QuotaHolder::demand(LimitId aLimit,
                                               Account& aAccount,
                                               std::uint64_t aReportNumber,
                                               TimePoint aNow)
{
  const double elapsed = std::max(toSeconds(aNow - mReportedAt), 0.001);
  const double weight = 1 - std::exp(-elapsed / toSeconds(kRateMemory));
  aAccount.mRate += weight * (aAccount.mArrivals / elapsed - aAccount.mRate);
  aAccount.mArrivals = 0;
  const Duration horizon = QuotaTiming::reportPeriod(mMembership.mInstances) + mRoundTrip;
  const double expected = aAccount.mRate * toSeconds(horizon);
  const bool isRecent = aNow - aAccount.mUsedAt < kSpareMemory;
  std::erase_if(aAccount.mAsks, [&](const Ask& aAsk) {
    return aNow - aAsk.mAt > std::max(Duration{ kAskTimeout }, mRoundTrip * 2);
  });
  std::uint32_t askedWaiting = 0;
  std::uint64_t askedOther = 0;
  for (const Ask& ask : aAccount.mAsks) {
    askedWaiting += ask.mWaiting;
    askedOther += ask.mOther;
  }
  const std::uint32_t waiting = aAccount.mWaiting - std::min(aAccount.mWaiting, askedWaiting);
  const std::uint64_t needed = static_cast<std::uint64_t>(expected);
  const std::uint64_t useful =
    needed + (isRecent ? 1 + static_cast<std::uint64_t>(std::sqrt(expected)) : 0);
  const std::uint64_t held = aAccount.mTokens.available(aNow) + askedOther;
  mCounters.mLapsed += aAccount.mTokens.takeNewlyLapsed();
  constexpr std::uint64_t kMaxTokens = 100'000;
  QuotaDemand wanted{ aLimit, waiting, 0, 0, aAccount.mTokens.spent(), aAccount.mTokens.lapsed() };
  if (needed > held) {
    wanted.mExpected = static_cast<std::uint32_t>(std::min(needed - held, kMaxTokens));
  }
  if (useful > std::max(held, needed)) {
    wanted.mSpare =
      static_cast<std::uint32_t>(std::min(useful - std::max(held, needed), kMaxTokens));
  }
  const bool isKnown =
    wanted.mSpent == aAccount.mKnownSpent && wanted.mLapsed == aAccount.mKnownLapsed;
  const std::uint32_t asked = wanted.mExpected + wanted.mSpare;
  if (waiting == 0 && asked == 0 && isKnown) {
    return std::nullopt;
  }
  aAccount.mReportedSpent = wanted.mSpent;
  aAccount.mReportedLapsed = wanted.mLapsed;
  if (waiting + asked > 0) {
    aAccount.mAsks.push_back({ aReportNumber, waiting, asked, aNow });
  }
  return wanted;
}

bool QuotaHolder::isFirstReceipt(std::uint64_t aSequenceNumber)
{
  constexpr std::uint64_t kBits = 64;
  if (aSequenceNumber > mHighestGrant) {
    const std::uint64_t shift = aSequenceNumber - mHighestGrant;
    mGrantBits = (shift >= kBits ? 0 : mGrantBits << shift) | 1U;
    mHighestGrant = aSequenceNumber;
    return true;
  }
  const std::uint64_t age = mHighestGrant - aSequenceNumber;
  if (age >= kBits || (mGrantBits >> age & 1U) != 0) {
    return false;
  }
  mGrantBits |= std::uint64_t{ 1 } << age;
  return true;
}

std::vector<LimitId> QuotaHolder::onGrant(const QuotaGrant& aGrant, TimePoint aNow)
{
  if (aGrant.mSession != mSession || aGrant.mSequenceNumber > mSequenceNumber ||
      !isFirstReceipt(aGrant.mSequenceNumber)) {
    return {};
  }
  ++mCounters.mGrantsReceived;
  mUnansweredSince.reset();
  if (mAlone) {
    mAlone = false;
    mDepositsFrom = aNow;
  }
  constexpr int kSmoothing = 8;
  mRoundTrip += (aNow - aGrant.mReportSentAt - mRoundTrip) / kSmoothing;
  const TimePoint expires = aGrant.mReportSentAt + QuotaTiming::lifetime(mMembership.mInstances);
  const TimePoint directExpires = aGrant.mReportSentAt + QuotaTiming::kDirectLifetime;
  std::vector<LimitId> limits;
  limits.reserve(aGrant.mGrants.size());
  for (const TokenGrant& grant : aGrant.mGrants) {
    const auto found = mAccounts.find(grant.mLimit.value());
    if (found == mAccounts.end()) {
      continue;
    }
    Account& used = found->second;
    used.mTokens.add(grant.mDirect, directExpires, false);
    used.mTokens.add(grant.mHeld, expires, true);
    std::erase_if(used.mAsks,
                  [&](const Ask& aAsk) { return aAsk.mReportNumber == aGrant.mSequenceNumber; });
    used.mScarce = grant.mScarce;
    used.mNoTokenUntil = aNow + grant.mNextTokenIn;
    if (used.mReportNumber == aGrant.mSequenceNumber) {
      used.mKnownSpent = used.mReportedSpent;
      used.mKnownLapsed = used.mReportedLapsed;
    }
    mCounters.mGranted += grant.mDirect + grant.mHeld;
    limits.push_back(grant.mLimit);
  }
  return limits;
}

} // namespace bulrushrun
