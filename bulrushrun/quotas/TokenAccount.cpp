#include "bulrushrun/quotas/TokenAccount.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

void TokenAccount::insert(Tokens aTokens)
{
  const auto later = std::upper_bound(
    mTokens.begin(), mTokens.end(), aTokens, [](const Tokens& aLeft, const Tokens& aRight) {
      return aLeft.mExpires < aRight.mExpires;
    });
  mTokens.insert(later, aTokens);
}

void TokenAccount::add(std::uint64_t aTokens, TimePoint aExpires, bool aCounted)
{
  if (aTokens > 0) {
    insert({ aExpires, aTokens, aCounted });
  }
}

bool TokenAccount::take(TimePoint aNow)
{
  expire(aNow);
  if (mTokens.empty()) {
    return false;
  }
  Tokens& first = mTokens.front();
  mSpent += first.mCounted ? 1 : 0;
  if (--first.mCount == 0) {
    mTokens.pop_front();
  }
  return true;
}

void TokenAccount::giveBack(TimePoint aExpires)
{
  insert({ aExpires, 1, false });
}

void TokenAccount::reset()
{
  mTokens.clear();
  mSpent = 0;
  mLapsed = 0;
}

std::uint64_t TokenAccount::available(TimePoint aNow)
{
  expire(aNow);
  std::uint64_t count = 0;
  for (const Tokens& tokens : mTokens) {
    count += tokens.mCount;
  }
  return count;
}

std::uint64_t TokenAccount::takeNewlyLapsed()
{
  return std::exchange(mNewlyLapsed, 0);
}

void TokenAccount::expire(TimePoint aNow)
{
  while (!mTokens.empty() && mTokens.front().mExpires <= aNow) {
    mLapsed += mTokens.front().mCounted ? mTokens.front().mCount : 0;
    mNewlyLapsed += mTokens.front().mCount;
    mTokens.pop_front();
  }
}

} // namespace bulrushrun
