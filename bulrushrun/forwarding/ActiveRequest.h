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

/// \brief Where an attempt of a request was sent.
struct Destination
{
  Endpoint mEndpoint;
  ZoneName mZone;
  /// Set when it went to a target.
  TargetId mTarget;
  /// Set when it was relayed to another instance.
  InstanceId mPeer;
};

/// \brief Attempt that is out.
struct Attempt
{
  ExchangeId mExchange;
  std::string mExchangeName;
  Destination mDestination;
  TimePoint mStarted;
  /// True until the slot at the target was given back.
  bool mHoldsSlot = false;
};

/// \brief One request in progress, with all that belongs to it.
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
  /// Callers that repeated the request meanwhile; they get the same answer.
  std::vector<std::shared_ptr<ResponderType>> mJoinedResponders;
  TimePoint mArrived;
  TimePoint mDeadline;
  bool mRelaying = false;
  /// True while it counts against the cap on work for other regions.
  bool mShifted = false;
  std::optional<ClaimHandle> mClaimHandle;
  std::optional<Attempt> mAttempt;
  int mAttempts = 0;
  std::set<InstanceId> mTriedPeers;
  TargetId mLastTarget;
  /// Why the last attempt or admission failed.
  Refusal mRefusal;
  /// Copy of the answer, for the claim's record and for joined callers.
  StoredOutcome mKept;
  bool mHeadForwarded = false;
  TimerId mDeadlineTimer;
  TimerId mProgressTimer;

  /// \brief \returns the request as the queue sees it.
  QueuedRequest queuedRequest() const
  {
    return { mId,       mParameters.mClass.mName,      mParameters.mClass.mPriority,
             mDeadline, mParameters.mClass.mSlotShare, mLastTarget };
  }
  /// \brief \returns true when a copy of the answer must be kept.
  bool storesResponse() const { return !mParameters.mClass.mRepeatable; }
};

} // namespace bulrushrun
