#pragma once

#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/host.h"
#include "bulrushrun/routing/RoutePlan.h"
#include "bulrushrun/steering/MessageMetadata.h"

#include <memory>
#include <set>
#include <string>

namespace bulrushrun {

/// \brief One send of a request to a target.
struct TargetAttempt
{
  ExchangeId mExchange;
  TargetId mTarget;
  TimePoint mStarted;
  /// The head came and is held until the body is whole or too long to hold.
  std::optional<ResponseHead> mHead;
  std::string mBody;
  ResponseMetadata mMetadata;
};

/// \brief One request in progress, with all that belongs to it.
template<class ResponderType>
struct ProxiedRequest
{
  ProxiedRequest(RequestId aId, RetryPolicy aPolicy)
    : mId(aId)
    , mStateMachine(aPolicy)
  {
  }

  RequestId mId;
  RequestStateMachine mStateMachine;
  RequestMetadata mMetadata;
  HttpRequest mRequest;
  std::shared_ptr<ResponderType> mResponder;
  /// Keeps the route alive across changes of the configuration.
  std::shared_ptr<const RoutePlan> mPlan;
  const Route* mRoute = nullptr;
  ServiceName mService;
  TimePoint mArrived;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint mDeadline;
  std::set<TargetId> mTriedTargets;
  /// Sends that reached a target.
  int mAttempts = 0;
  /// Sends that were begun, whatever became of them.
  int mStartedAttempts = 0;
  /// Sends for which no connection came about.
  int mConnectFailures = 0;
  std::optional<TargetAttempt> mAttempt;
  /// The head was passed on to the caller.
  bool mStreaming = false;
  /// What the last choice of a target saw, for the log.
  std::size_t mUsable = 0;
  std::size_t mColdLimited = 0;
  double mLoad = 0;
  std::size_t mPreferenceRank = 0;
  /// Why the last send failed or none was made, for the log.
  std::string mReason;
  TimerId mDeadlineTimer;
};

} // namespace bulrushrun
