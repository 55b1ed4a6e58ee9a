#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace bulrushrun {

/// \brief Parameters of the fleet-wide retry budget.
struct RetryBudgetPolicy
{
  /// Retries allowed per first attempt.
  double mRatio = 0.1;
  /// Retries allowed per window in addition, independent of the number of first attempts, for the
  /// whole fleet.
  double mFreeRetries = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/// \brief This instance's share of the fleet-wide retry budget for one service: a fraction of its
/// own first attempts, plus an equal part of the free retries.
///
/// First attempts and retries are counted in buckets of a tenth of the window.
class RetryBudgetShare
{
public:
  /// \brief Counts the first attempt of a request.
  void onFirstAttempt(TimePoint aNow)
  {
    advance(aNow);
    ++mFirstAttempts.back();
  }

  /// \brief \returns true when the share permits a retry.
  /// \param aInstances  number of instances that may exist
  bool maySpend(const RetryBudgetPolicy& aPolicy, std::size_t aInstances, TimePoint aNow)
  {
    mBucketDuration = aPolicy.mWindow / kBuckets;
    advance(aNow);
    double firstAttempts = 0;
    double retries = 0;
    for (std::size_t i = 0; i < mFirstAttempts.size(); ++i) {
      firstAttempts += mFirstAttempts[i];
      retries += mRetries[i];
    }
    const double instances = static_cast<double>(std::max<std::size_t>(aInstances, 1));
    const double allowed =
      kMargin * (aPolicy.mRatio * firstAttempts + aPolicy.mFreeRetries / instances);
    return retries + 1 <= allowed;
  }

  /// \brief Spends one retry. \returns false when the share is exhausted
  /// \param aInstances  number of instances that may exist
  bool trySpend(const RetryBudgetPolicy& aPolicy, std::size_t aInstances, TimePoint aNow)
  {
    const bool isPermitted = maySpend(aPolicy, aInstances, aNow);
    mRetries.back() += isPermitted ? 1 : 0;
    return isPermitted;
  }

private:
  static constexpr int kBuckets = 10;
  /// Safety margin: the fleet-wide budget is checked over a sliding window, whereas this class
  /// advances its window in steps of one bucket.
  static constexpr double kMargin = 0.8;

  void advance(TimePoint aNow)
  {
    const std::int64_t bucket = aNow.time_since_epoch() / mBucketDuration;
    if (mFirstAttempts.empty()) {
      mCurrentBucket = bucket;
      mFirstAttempts.push_back(0);
      mRetries.push_back(0);
    }
    // After a long gap all buckets are empty.
    mCurrentBucket = std::max(mCurrentBucket, bucket - kBuckets - 1);
    while (mCurrentBucket < bucket) {
      ++mCurrentBucket;
      mFirstAttempts.push_back(0);
      mRetries.push_back(0);
    }
    while (mFirstAttempts.size() > kBuckets) {
      mFirstAttempts.pop_front();
      mRetries.pop_front();
    }
  }

  Duration mBucketDuration = std::chrono::seconds(1);
  std::int64_t mCurrentBucket = 0;
  std::deque<double> mFirstAttempts;
  std::deque<double> mRetries;
};

} // namespace bulrushrun
