#pragma once

#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/host.h"
#include "bulrushrun/routing/RoutePlan.h"
#include "bulrushrun/steering/MessageMetadata.h"
#include "bulrushrun/steering/TargetAttempt.h"
#include "bulrushrun/steering/TargetPicker.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief State of one request in progress.
template<class ResponderType>
struct ProxiedRequest
{
  ProxiedRequest(RequestId aId, RetryPolicy aPolicy)
    : mId(aId)
    , mStateMachine(aPolicy)
  {
  }

  /// \brief Adds an attempt and makes it the current one.
  TargetAttempt& addAttempt()
  {
    keepCurrentAttempt();
    mLastAttempt = mLastAttempt.next();
    mAttempt = TargetAttempt{};
    mAttempt->mId = mLastAttempt;
    return *mAttempt;
  }
  /// \brief Makes an attempt the current one. \returns false when it is not in progress
  bool selectAttempt(AttemptId aId)
  {
    if (mAttempt && mAttempt->mId == aId) {
      return mAttempt->mIsInProgress;
    }
    const auto found =
      std::find_if(mOtherAttempts.begin(),
                   mOtherAttempts.end(),
                   [&](const TargetAttempt& aAttempt) { return aAttempt.mId == aId; });
    if (found == mOtherAttempts.end()) {
      return false;
    }
    TargetAttempt selected = std::move(*found);
    mOtherAttempts.erase(found);
    keepCurrentAttempt();
    mAttempt = std::move(selected);
    return true;
  }
  /// \brief \returns true when the current attempt is in progress.
  bool isAttemptInProgress() const { return mAttempt && mAttempt->mIsInProgress; }
  /// \brief \returns the attempts in progress.
  std::vector<const TargetAttempt*> attemptsInProgress() const
  {
    std::vector<const TargetAttempt*> attempts;
    for (const TargetAttempt& attempt : mOtherAttempts) {
      attempts.push_back(&attempt);
    }
    if (isAttemptInProgress()) {
      attempts.push_back(&*mAttempt);
    }
    return attempts;
  }
  /// \brief \returns the attempts that count towards the limit of the route: those in progress,
  /// and those that reached a target.
  int countedAttempts() const
  {
    return mAttempts + static_cast<int>(mOtherAttempts.size()) + (isAttemptInProgress() ? 1 : 0);
  }
  /// \brief \returns the size of the response bodies that are buffered.
  std::size_t bufferedBytes() const
  {
    std::size_t bytes = mAttempt ? mAttempt->mBody.size() : 0;
    for (const TargetAttempt& attempt : mOtherAttempts) {
      bytes += attempt.mBody.size();
    }
    return bytes + (mErrorResponse ? mErrorResponse->mBody.size() : 0);
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
  /// Attempts that reached a target, other than those in progress.
  int mAttempts = 0;
  AttemptId mLastAttempt;
  /// Attempts for which no connection could be established.
  int mConnectFailures = 0;
  /// The attempt to which the last event belongs; it may have ended.
  std::optional<TargetAttempt> mAttempt;
  /// Further attempts in progress.
  std::vector<TargetAttempt> mOtherAttempts;
  /// Complete error response of a target, forwarded when no retry gets another response.
  std::optional<HttpResponse> mErrorResponse;
  /// The response head was forwarded to the caller.
  bool mStreaming = false;
  /// Inputs of the last choice of a target, for the log.
  std::size_t mUsable = 0;
  std::size_t mColdLimited = 0;
  std::size_t mRateLimited = 0;
  /// Rank of its priority; empty where requests do not compete by priority.
  std::optional<PriorityLevel> mLevel;
  /// Its caller repeats a refused request before its Retry-After has passed.
  bool mIsEarlyRepeat = false;
  /// Of the last choice for a request that competes: time until there is room.
  std::optional<Duration> mUntilRoom;
  PickFailure mPickFailure = PickFailure::None;
  /// Why the last attempt failed or none was made, for the log.
  std::string mReason;
  TimerId mDeadlineTimer;
  /// Runs when the targets should have responded.
  TimerId mResponseTimer;
  /// It was logged that the request stays at targets that do not respond.
  bool mIsSilenceLogged = false;

private:
  void keepCurrentAttempt()
  {
    if (isAttemptInProgress()) {
      mOtherAttempts.push_back(std::move(*mAttempt));
    }
  }
};

} // namespace bulrushrun
