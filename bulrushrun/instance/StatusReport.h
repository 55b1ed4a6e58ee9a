#pragma once

#include "bulrushrun/membership/Member.h"
#include "bulrushrun/routing.h"

#include <functional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Input of a status report.
struct StatusInput
{
  Member mSelf;
  bool mReady = false;
  bool mDraining = false;
  std::string mHash;
  std::vector<Member> mMembers;
  std::size_t mInProgress = 0;
  std::size_t mClaimBacklog = 0;
  std::uint64_t mControlBytesSent = 0;
  /// nullptr before the first configuration.
  const FleetView* mView = nullptr;
  std::function<const ServicePool*(const ServiceKey&)> mPool;
};

/// \brief \returns the status of an instance as JSON.
std::string statusReport(const StatusInput& aInput, TimePoint aNow);

/// \brief Request that is to be explained, and the instance that would receive it.
struct ExplainInput
{
  ServiceKey mService;
  ClassName mClass;
  ZoneName mZone;
  InstanceId mInstance;
};

/// \brief \returns, as JSON, whether a request would be queued here or relayed now, the candidates
/// and the reason.
std::string explainReport(const ExplainInput& aInput,
                          const FleetView& aView,
                          const ServicePool* aPool,
                          TimePoint aNow);

} // namespace bulrushrun
