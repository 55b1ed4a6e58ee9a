#pragma once

#include "bulrushrun/limits/RetryBudgetShare.h"
#include "bulrushrun/routing/RoutePlan.h"
#include "bulrushrun/steering/PickQuery.h"

#include <memory>
#include <optional>

namespace bulrushrun {

/// \brief State of the fleet that the proxy reads; owned by the instance.
struct SteeringState
{
  std::shared_ptr<const RoutePlan> mPlan;
  TargetTable mTargets;
  PickContext mContext;
  RetryBudgetPolicy mRetryBudgetPolicy;
  /// Factor and constant of the rate limit on cold targets: rate x factor + slack.
  double mColdFactor = 1;
  double mColdSlack = 0;
  /// Instances that may exist; fleet-wide limits are divided among them.
  std::size_t mInstanceCount = 1;
  /// When the target table was last known to match the store's.
  TimePoint mSyncedAt;
  /// This instance is draining; connections are closed after each response.
  bool mDraining = false;
  /// While draining: when the targets' responses are due, so that they can still be forwarded.
  std::optional<TimePoint> mResponsesDue;
  /// Too little of the shutdown grace period is left for new requests.
  bool mRejectingRequests = false;
};

} // namespace bulrushrun
