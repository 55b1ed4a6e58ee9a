#pragma once

#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/host.h"
#include "bulrushrun/routing/RoutePlan.h"
#include "bulrushrun/steering/MessageMetadata.h"
#include "bulrushrun/steering/TargetPicker.h"

#include <memory>
#include <set>
#include <string>

namespace bulrushrun {

/// \brief One attempt of a request at a target.
struct TargetAttempt
{
  ExchangeId mExchange;
  TargetId mTarget;
  ZoneName mZone;
  /// Incarnation of the target when the attempt started.
  Incarnation mIncarnation;
  /// Regions in which the request could be served when the attempt started.
  HomeRegions mHomeRegions;
  TimePoint mStarted;
  /// The response head, buffered until the body is complete or exceeds the buffer.
  std::optional<ResponseHead> mHead;
  std::string mBody;
  /// Bytes of a body that is not forwarded.
  std::size_t mDiscardedBytes = 0;
  ResponseMetadata mMetadata;
};

/// \brief State of one request in progress.
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
  /// Keeps the route alive across configuration changes.
  std::shared_ptr<const RoutePlan> mPlan;
  const Route* mRoute = nullptr;
  ServiceName mService;
  /// Configuration in which the customer was identified; keeps mCustomer alive.
  std::shared_ptr<const RoutePlan> mIdentityPlan;
  /// Customer that sent the request, in mIdentityPlan; nullptr without a known key.
  const Customer* mCustomer = nullptr;
  /// Why no further attempt may be made, since the configuration changed.
  std::optional<KeyRefusal> mKeyRefusal;
  /// Effective priority: the customer's, or else the route's; 0 is the highest.
  int mPriority = 0;
  /// Regions in which the request may be served: those that the route and the customer share.
  HomeRegions mHomeRegions;
  /// When the unused token of the customer's quota was taken; empty when there is none, or an
  /// attempt has used it.
  std::optional<TimePoint> mTokenTakenAt;
  TimePoint mArrived;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint mDeadline;
  std::set<TargetId> mTriedTargets;
  std::set<Endpoint> mTriedEndpoints;
  /// Attempts that reached a target.
  int mAttempts = 0;
  /// Attempts started, whatever their result.
  int mStartedAttempts = 0;
  /// Attempts for which no connection could be established.
  int mConnectFailures = 0;
  std::optional<TargetAttempt> mAttempt;
  /// Complete error response of a target, forwarded when no retry gets another response.
  std::optional<HttpResponse> mErrorResponse;
  /// The response head was forwarded to the caller.
  bool mStreaming = false;
  /// Inputs of the last choice of a target, for the log.
  std::size_t mUsable = 0;
  std::size_t mColdLimited = 0;
  std::size_t mRateLimited = 0;
  double mLoad = 0;
  std::size_t mPreferenceRank = 0;
  /// Rank of its priority; empty where requests do not compete by priority.
  std::optional<PriorityLevel> mLevel;
  /// Its caller repeats a refused request before its Retry-After has passed.
  bool mIsEarlyRepeat = false;
  /// Results of the last choice for a request that competes: expected time to the response, time
  /// until there is room, whether the target has the object's data, how long work takes
  /// there as a multiple of the usual time, and its slots.
  std::optional<Duration> mExpected;
  std::optional<Duration> mUntilRoom;
  bool mIsWarm = true;
  double mSlowdown = 1;
  int mSlots = 0;
  PickFailure mPickFailure = PickFailure::None;
  /// Why the last attempt failed or none was made, for the log.
  std::string mReason;
  TimerId mDeadlineTimer;
};

} // namespace bulrushrun
