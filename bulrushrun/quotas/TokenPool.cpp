#include "bulrushrun/quotas/TokenPool.h"

#include "bulrushrun/quotas/QuotaTiming.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushrun {

void TokenPool::refill(double aRate, double aCapacity, double aDeposited, TimePoint aNow)
{
  if (aNow - mSweptAt >= kSweepPeriod) {
    sweep(aNow);
  }
  mCapacity = aCapacity;
  const double room = std::max(aCapacity - static_cast<double>(mOutstanding), 0.0);
  mLevel = std::min(mLevel + aRate * (aDeposited - mDeposited), room);
  mDeposited = aDeposited;
}

void TokenPool::settle(QuotaSessionId aSession, const QuotaDemand& aDemand)
{
  Holding& holding = mHoldings[aSession.value()];
  const bool isFollowing =
    holding.mKnown && aDemand.mSpent >= holding.mSpent && aDemand.mLapsed >= holding.mLapsed;
  if (isFollowing) {
    resolve(holding, aDemand.mSpent - holding.mSpent);
    mLevel += static_cast<double>(resolve(holding, aDemand.mLapsed - holding.mLapsed));
  }
  holding.mKnown = true;
  holding.mSpent = aDemand.mSpent;
  holding.mLapsed = aDemand.mLapsed;
}

std::uint64_t TokenPool::resolve(Holding& aHolding, std::uint64_t aTokens)
{
  std::uint64_t resolved = 0;
  while (resolved < aTokens && !aHolding.mGranted.empty()) {
    Granted& oldest = aHolding.mGranted.front();
    const std::uint64_t tokens = std::min(oldest.mTokens, aTokens - resolved);
    oldest.mTokens -= tokens;
    resolved += tokens;
    if (oldest.mTokens == 0) {
      aHolding.mGranted.pop_front();
    }
  }
  mOutstanding -= resolved;
  return resolved;
}

TokenGrant TokenPool::grant(QuotaSessionId aSession,
                            const QuotaDemand& aDemand,
                            double aFlow,
                            TimePoint aNow)
{
  Holding& holding = mHoldings[aSession.value()];
  const std::uint64_t needed = std::uint64_t{ aDemand.mWaiting } + aDemand.mExpected;
  mNeeded += needed;
  mNeeded -= std::min(mNeeded, holding.mNeeded);
  holding.mNeeded = needed;
  holding.mAskedAt = aNow;
  TokenGrant grant{ aDemand.mLimit, 0, 0, isScarce(), Duration{ 0 } };
  const std::uint64_t whole = static_cast<std::uint64_t>(std::max(std::floor(mLevel), 0.0));
  std::uint64_t tokens = std::min(needed, whole);
  if (grant.mScarce && mNeeded > whole && tokens > 0) {
    // In proportion to the needs, and at least one token, so that small needs are met at all.
    const double share = static_cast<double>(needed) / static_cast<double>(mNeeded);
    const double expected = mLevel + aFlow * toSeconds(kNeedMemory);
    tokens = std::min(tokens, static_cast<std::uint64_t>(std::ceil(expected * share)));
  }
  const std::uint64_t direct = std::min<std::uint64_t>(tokens, aDemand.mWaiting);
  std::uint64_t held = tokens - direct;
  const double reserve = std::max(mCapacity / 2, 1.0);
  const double left = mLevel - static_cast<double>(tokens);
  if (!grant.mScarce && left > reserve) {
    held += std::min<std::uint64_t>(aDemand.mSpare,
                                    static_cast<std::uint64_t>(std::floor(left - reserve)));
  }
  mLevel -= static_cast<double>(direct + held);
  if (held > 0) {
    mOutstanding += held;
    holding.mGranted.push_back({ aNow, held });
  }
  if (tokens < needed) {
    // The needs of all instances are about as urgent, so the middle of this one's is reached when
    // half of all are met.
    const double unmet = static_cast<double>(needed - tokens);
    const double others = static_cast<double>(mNeeded) / static_cast<double>(needed);
    const double missing = std::max(1.0 - mLevel, 0.0) + unmet * others / 2;
    grant.mNextTokenIn = aFlow > 0 ? std::min(fromSeconds(std::min(missing / aFlow, 3600.0)),
                                              Duration{ kMaxNextToken })
                                   : kMaxNextToken;
  }
  grant.mDirect = static_cast<std::uint32_t>(direct);
  grant.mHeld = static_cast<std::uint32_t>(held);
  return grant;
}

/// Tokens whose instance no longer reports are lost: it may have spent them.
void TokenPool::sweep(TimePoint aNow)
{
  mSweptAt = aNow;
  for (auto entry = mHoldings.begin(); entry != mHoldings.end();) {
    Holding& holding = entry->second;
    while (!holding.mGranted.empty() && aNow - holding.mGranted.front().mAt >
                                          QuotaTiming::kMaxLifetime + QuotaTiming::kSettleTime) {
      mOutstanding -= holding.mGranted.front().mTokens;
      holding.mGranted.pop_front();
    }
    if (aNow - holding.mAskedAt > kNeedMemory) {
      mNeeded -= std::min(mNeeded, std::exchange(holding.mNeeded, 0));
    }
    const bool isOld = holding.mGranted.empty() && aNow - holding.mAskedAt > kIdleRetention;
    entry = isOld ? mHoldings.erase(entry) : std::next(entry);
  }
}

} // namespace bulrushrun
