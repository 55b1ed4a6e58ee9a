#pragma once

#include <algorithm>

namespace bulrushrun {

/// \brief Limits retries to a share of first attempts, so that retries never cause an overload.
///
/// \code
/// budget.onFirstAttempt(0.1);
/// if (budget.spend()) retry();
/// \endcode
class RetryBudget
{
public:
  /// \brief Counts a first attempt, which adds \a aShare of a retry to the budget.
  void onFirstAttempt(double aShare) { mTokens = std::min(kMaxTokens, mTokens + aShare); }

  /// \brief Takes one retry out of the budget. \returns false when the budget is exhausted.
  bool trySpend()
  {
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  static constexpr double kMaxTokens = 20;

  double mTokens = kMaxTokens;
};

} // namespace bulrushrun
