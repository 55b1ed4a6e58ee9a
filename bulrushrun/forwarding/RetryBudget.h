#pragma once

#include <algorithm>

namespace bulrushrun {

/// \brief Bounds retries to a share of fresh requests, so that they never become the overload.
///
/// \code
/// budget.onFirstAttempt(0.1);
/// if (budget.spend()) retry();
/// \endcode
class RetryBudget
{
public:
  /// \brief Counts a fresh request, which earns \a aShare of a retry.
  void onFirstAttempt(double aShare) { mTokens = std::min(kMaxTokens, mTokens + aShare); }

  /// \brief Takes one retry out of the budget. \returns false when there is none.
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
