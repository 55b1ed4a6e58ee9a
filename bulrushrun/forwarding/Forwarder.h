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

/// \brief Carries requests from callers to targets, or to the instance that owns a target.
///
/// Owns every request in progress. What may be done with one is decided by its RequestStateMachine;
/// where it goes, by the pool of owned targets and the directory of owners.
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

  /// \brief Takes over a new view of the fleet: targets owned from now on, targets that leave.
  void setView(std::shared_ptr<const FleetView> aView);
  /// \brief Sets the targets that are leaving by any source but the configuration.
  /// \returns true when there is one that was not known
  bool setLeavingTargets(std::set<TargetId> aTargets);
  /// \brief A target's page was read: it may be given work, unless it is leaving.
  void confirmTarget(const TargetId& aTarget);

  /// \brief Takes one request in.
  void accept(HttpRequest aRequest, ResponderPtr aResponder);

  /// \brief Ends requests whose callers have left, and exceptions that have expired; called at
  /// least every kPauseThreshold. A longer gap shows that the process stood still.
  void sweep();
  /// \brief Sets what runs when the process is found to have stood still.
  void setOnPause(std::function<void()> aOnPause) { mOnPause = std::move(aOnPause); }

  /// \brief \returns requests in progress, and answers that are not stored yet.
  std::size_t inProgress() const { return mRequests.size() + mPendingClaimWrites; }
  /// \brief \returns the pool of a service, or nullptr.
  const ServicePool* pool(const ServiceKey& aService) const;
  /// \brief \returns the claims, for their rate and counters.
  ClaimStore<HostType>& claims() { return mClaims; }

private:
  using Request = ActiveRequest<ResponderType>;

  /// State kept for each service.
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

  /// Gap between two sweeps that shows a pause.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(800);
  /// Time to hear from peers and the platform after a pause.
  static constexpr Duration kPauseRecoveryTime = std::chrono::milliseconds(300);
  /// Targets that rest or were ejected come back without an event of their own.
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

  // Actions of the machine.
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

// Member functions, by duty.
#include "bulrushrun/forwarding/ForwarderAdmission.h"
// Actions of the request machine.
#include "bulrushrun/forwarding/ForwarderActions.h"
// Exchanges with targets and peers.
#include "bulrushrun/forwarding/ForwarderDispatch.h"
#include "bulrushrun/forwarding/ForwarderExchange.h"
