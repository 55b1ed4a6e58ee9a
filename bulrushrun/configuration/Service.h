#pragma once

#include "bulrushrun/core.h"

#include <compare>
#include <vector>

namespace bulrushrun {

/// \brief Identifies one service of one tenant.
struct ServiceKey
{
  TenantName mTenant;
  ServiceName mService;

  auto operator<=>(const ServiceKey&) const = default;
};

/// \brief Class of requests with the same priority, deadline and retry rules.
struct RequestClass
{
  ClassName mName;
  /// False when a request of this class must be executed at most once.
  bool mRepeatable = true;
  /// 0 is the most urgent.
  int mPriority = 1;
  /// Default for requests without a deadline header.
  Duration mDeadline = kDefaultDeadline;
  /// Largest share of a pool's slots that this class may use.
  double mSlotShare = 1.0;
  /// Typical size of a response, for the link budget.
  double mAnswerBytes = 8192;
};

/// \brief One target: its location, and the number of requests that it handles concurrently.
struct TargetSpec
{
  TargetId mId;
  Endpoint mEndpoint;
  ZoneName mZone;
  int mSlots = 1;
};

/// \brief Service of a tenant: its classes and its targets.
struct Service
{
  ServiceName mName;
  std::vector<RequestClass> mClasses;
  std::vector<TargetSpec> mTargets;

  /// \brief \returns the class, or nullptr. An empty name selects the first class.
  const RequestClass* requestClass(const ClassName& aName) const;
};

} // namespace bulrushrun

template<>
struct std::hash<bulrushrun::ServiceKey>
{
  std::size_t operator()(const bulrushrun::ServiceKey& aKey) const
  {
    return bulrushrun::combineHashes(bulrushrun::hashText(aKey.mTenant.text()),
                                     bulrushrun::hashText(aKey.mService.text()));
  }
};
