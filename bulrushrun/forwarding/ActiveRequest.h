#pragma once

#include "bulrushrun/claims/ClaimStore.h"
#include "bulrushrun/forwarding/RequestParametersReader.h"
#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/routing/ServicePool.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Target or instance that an attempt is sent to.
struct Destination
{
  Endpoint mEndpoint;
  ZoneName mZone;
  /// Set when the attempt goes to a target.
  TargetId mTarget;
  /// Set when the request is relayed to another instance.
  InstanceId mPeer;
};

/// \brief Attempt in progress.
struct Attempt
{
  ExchangeId mExchange;
  std::string mExchangeName;
  Destination mDestination;
  TimePoint mStarted;
  /// True until the slot at the target is released.
  bool mHoldsSlot = false;
};

/// \brief One request in progress, with its state, timers and responders.
template<class ResponderType>
struct ActiveRequest
{
  ActiveRequest(RequestId aId, RetryPolicy aPolicy)
    : mId(aId)
    , mStateMachine(aPolicy)
  {
  }

  RequestId mId;
  RequestStateMachine mStateMachine;
  RequestParameters mParameters;
  HttpRequest mRequest;
  std::shared_ptr<ResponderType> mResponder;
  /// Responders of duplicates that arrived meanwhile; they get the same response.
  std::vector<std::shared_ptr<ResponderType>> mJoinedResponders;
  TimePoint mArrived;
  TimePoint mDeadline;
  bool mRelaying = false;
  /// True while it counts against the cap on requests from other regions.
  bool mShifted = false;
  std::optional<ClaimHandle> mClaimHandle;
  std::optional<Attempt> mAttempt;
  int mAttempts = 0;
  std::set<InstanceId> mTriedPeers;
  TargetId mLastTarget;
  /// Why the last attempt or admission failed.
  Refusal mRefusal;
  /// Copy of the response, for the claim's record and for joined duplicates.
  StoredOutcome mStoredOutcome;
  bool mHeadForwarded = false;
  TimerId mDeadlineTimer;
  TimerId mProgressTimer;

  /// \brief \returns the entry of this request in the pool's queue.
  QueuedRequest queuedRequest() const
  {
    return { mId,       mParameters.mClass.mName,      mParameters.mClass.mPriority,
             mDeadline, mParameters.mClass.mSlotShare, mLastTarget };
  }
  /// \brief \returns true when a copy of the response must be stored.
  bool storesResponse() const { return !mParameters.mClass.mRepeatable; }
};

} // namespace bulrushrun
