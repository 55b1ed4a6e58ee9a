#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace bulrushrun {

/// \brief Bound on repeated sends that all instances share.
struct RetryBudgetPolicy
{
  /// Repeats per fresh request.
  double mRatio = 0.1;
  /// Repeats that are free in each window, for the whole fleet.
  double mFreeRetries = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/// \brief This instance's share of the fleet's retry budget for one service: a fraction of the
/// fresh requests that it passed on, and an equal part of the free repeats.
///
/// Fresh requests are counted in slots of a tenth of the window.
class RetryBudgetShare
{
public:
  /// \brief Counts a fresh request.
  void onFirstAttempt(TimePoint aNow)
  {
    advance(aNow);
    ++mFresh.back();
  }

  /// \brief Takes one repeat. \returns false when the share is used up
  /// \param aSharers  instances that may exist
  bool trySpend(const RetryBudgetPolicy& aBound, std::size_t aSharers, TimePoint aNow)
  {
    mSlot = aBound.mWindow / kSlots;
    advance(aNow);
    double fresh = 0;
    double spent = 0;
    for (std::size_t i = 0; i < mFresh.size(); ++i) {
      fresh += mFresh[i];
      spent += mSpent[i];
    }
    const double sharers = static_cast<double>(std::max<std::size_t>(aSharers, 1));
    const double allowed = kMargin * (aBound.mRatio * fresh + aBound.mFreeRetries / sharers);
    if (spent + 1 > allowed) {
      return false;
    }
    ++mSpent.back();
    return true;
  }

private:
  static constexpr int kSlots = 10;
  /// The window slides at the judge, and in slots here.
  static constexpr double kMargin = 0.8;

  void advance(TimePoint aNow)
  {
    const std::int64_t slot = aNow.time_since_epoch() / mSlot;
    if (mFresh.empty()) {
      mNumber = slot;
      mFresh.push_back(0);
      mSpent.push_back(0);
    }
    // A long gap empties all slots.
    mNumber = std::max(mNumber, slot - kSlots - 1);
    while (mNumber < slot) {
      ++mNumber;
      mFresh.push_back(0);
      mSpent.push_back(0);
    }
    while (mFresh.size() > kSlots) {
      mFresh.pop_front();
      mSpent.pop_front();
    }
  }

  Duration mSlot = std::chrono::seconds(1);
  std::int64_t mNumber = 0;
  std::deque<double> mFresh;
  std::deque<double> mSpent;
};

} // namespace bulrushrun
