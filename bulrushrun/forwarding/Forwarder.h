#pragma once

#include "bulrushrun/claims.h"
#include "bulrushrun/forwarding/ActiveRequest.h"
#include "bulrushrun/forwarding/RelayChoice.h"
#include "bulrushrun/forwarding/RetryBudget.h"
#include "bulrushrun/host.h"
#include "bulrushrun/limits.h"
#include "bulrushrun/metrics.h"
#include "bulrushrun/routing.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Forwards requests from callers to targets, or relays them to an instance that owns a
/// target.
///
/// Owns every request in progress. Its RequestStateMachine decides what may be done with it; the
/// pool of owned targets and the directory of owners decide where it is sent.
template<class HostType>
class Forwarder
{
public:
  using ResponderType = typename HostType::ResponderType;
  using ResponderPtr = std::shared_ptr<ResponderType>;

  Forwarder(HostType& aHost, InstanceId aSelf, ZoneName aZone, Metrics& aMetrics)
    : mHost(aHost)
    , mSelf(std::move(aSelf))
    , mZone(std::move(aZone))
    , mMetrics(aMetrics)
    , mClaims(aHost, mSelf)
    , mExchangeNamePrefix(mSelf.text() + "-" + aHost.random().token().substr(0, 8))
  {
  }

  /// \brief Applies a new fleet view: updates the owned targets and those that are leaving.
  void setView(std::shared_ptr<const FleetView> aView);
  /// \brief Sets the targets that are leaving according to any source but the configuration.
  /// \returns true when the set has a target that was not in it before
  bool setLeavingTargets(std::set<TargetId> aTargets);
  /// \brief Records a first health check of a target: it may get requests unless it is leaving.
  void onTargetHealthChecked(const TargetId& aTarget);

  /// \brief Accepts one request from a caller or from a relaying peer.
  void accept(HttpRequest aRequest, ResponderPtr aResponder);

  /// \brief Handles callers that have disconnected and exception rules that have expired. Must be
  /// called at least every kPauseThreshold: a longer gap is taken for a pause of the process.
  void sweep();
  /// \brief Sets the callback for a detected pause of the process.
  void setOnPause(std::function<void()> aOnPause) { mOnPause = std::move(aOnPause); }

  /// \brief \returns the number of requests in progress and of claim writes without a result.
  std::size_t requestsInProgress() const { return mRequests.size() + mPendingClaimWrites; }
  /// \brief \returns the pool of a service, or nullptr.
  const ServicePool* pool(const ServiceKey& aService) const;
  /// \brief \returns the claim store, for its rate limit and counters.
  ClaimStore<HostType>& claims() { return mClaims; }

private:
  using Request = ActiveRequest<ResponderType>;

  struct ServiceState
  {
    explicit ServiceState(double aEjectionCap)
      : mPool(aEjectionCap)
    {
    }
    ServicePool mPool;
    RetryBudget mRetries;
    TrafficShiftLimiter mShiftCap;
    bool mDispatching = false;
    bool mDispatchTimerArmed = false;
  };

  /// Gap between two sweeps that is taken for a pause of the process.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(800);
  /// Least time without dispatch after a pause, to receive updates from peers and the platform.
  static constexpr Duration kPauseRecoveryTime = std::chrono::milliseconds(300);
  /// The queue is polled because a target becomes usable again (after an ejection, for example)
  /// without any event.
  static constexpr Duration kDispatchPeriod = std::chrono::milliseconds(20);
  static constexpr int kMaxAttempts = 4;
  static constexpr Duration kMinFirstByteTimeout = std::chrono::milliseconds(1000);
  static constexpr int kFirstByteFactor = 8;
  static constexpr Duration kBodyTimeout = std::chrono::seconds(5);
  static constexpr Duration kCallerStallTimeout = std::chrono::seconds(30);
  static constexpr Duration kClaimReleaseTimeout = std::chrono::seconds(5);

  // Admission.
  void admit(HttpRequest&& aRequest,
             ResponderPtr&& aResponder,
             const RequestParameters& aParameters);
  bool joinRequestInProgress(const HttpRequest& aRequest,
                             const ResponderPtr& aResponder,
                             const RequestParameters& aParameters);
  RetryPolicy retryPolicyFor(const RequestParameters& aParameters, bool aRelaying) const;
  std::optional<RefusalReason> reasonToRefuse(Request& aRequest, ServiceState& aState);
  bool isFromOtherRegion(const RequestParameters& aParameters) const;
  void watchCaller(Request& aRequest);
  void onCallerDisconnected(RequestId aId);
  void rejectRequest(ResponderType& aResponder, const Refusal& aRefusal);

  // Actions of the state machine.
  void apply(RequestId aId, RequestEvent aEvent);
  void perform(Request& aRequest, RequestAction aAction);
  void writeClaim(Request& aRequest);
  void onClaim(RequestId aId, const ClaimResult& aResult);
  void enqueue(Request& aRequest);
  void retry(Request& aRequest);
  void releaseClaim(Request& aRequest);
  void respondWithOutcome(Request& aRequest, Outcome aOutcome);
  void respondWithReason(Request& aRequest, Outcome aOutcome, RefusalReason aReason);
  void replay(Request& aRequest);
  void finishResponse(Request& aRequest);
  void abortResponse(Request& aRequest);
  void finish(Request& aRequest, Outcome aOutcome);

  // Sending.
  void checkForPause();
  void dispatchQueued(const ServiceKey& aService);
  void dispatch(ServiceState& aState, const Dispatch& aDispatch);
  void relay(Request& aRequest);
  void send(Request& aRequest, const Destination& aDestination);
  HttpRequest outgoing(const Request& aRequest, const Destination& aDestination) const;
  Duration firstByteTimeout(const Request& aRequest);

  // Events of an exchange.
  void onHead(RequestId aId, const ResponseHead& aHead);
  bool onBody(RequestId aId, std::string_view aBytes);
  void onEnd(RequestId aId, ExchangeResult aEnd, const std::string& aReason);
  void onProgressTimeout(RequestId aId);
  void onDeadline(RequestId aId);
  bool isMismatched(const Request& aRequest, const ResponseHead& aHead) const;
  void forwardHead(Request& aRequest, const ResponseHead& aHead);
  void endAttempt(Request& aRequest, SlotRelease aHow);
  void restartProgressTimer(Request& aRequest, Duration aLimit);

  Request* find(RequestId aId);
  ServiceState& state(const ServiceKey& aService);
  static std::string keyOf(const RequestParameters& aParameters);
  void updateLeaving();

  HostType& mHost;
  InstanceId mSelf;
  ZoneName mZone;
  Metrics& mMetrics;
  std::shared_ptr<const FleetView> mView;
  ClaimStore<HostType> mClaims;
  std::string mExchangeNamePrefix;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> mRequests;
  std::unordered_map<std::string, RequestId> mRequestsByKey;
  std::map<ServiceKey, ServiceState> mServices;
  std::set<TargetId> mLeavingTargets;
  RequestId mLastRequest;
  std::uint64_t mLastExchange = 0;
  std::size_t mPendingClaimWrites = 0;
  TimePoint mLastSweep;
  std::function<void()> mOnPause;
};

} // namespace bulrushrun

// Member functions, by task: admission.
#include "bulrushrun/forwarding/ForwarderAdmission.h"
// Actions of the request state machine.
#include "bulrushrun/forwarding/ForwarderActions.h"
// Exchanges with targets and peers.
#include "bulrushrun/forwarding/ForwarderDispatch.h"
#include "bulrushrun/forwarding/ForwarderExchange.h"
