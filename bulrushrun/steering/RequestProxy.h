#pragma once

#include "bulrushrun/metrics/AdmissionMetrics.h"
#include "bulrushrun/metrics/ServiceMetrics.h"
#include "bulrushrun/quotas.h"
#include "bulrushrun/steering/EarlyRepeats.h"
#include "bulrushrun/steering/LoadReportMessage.h"
#include "bulrushrun/steering/ProxiedRequest.h"
#include "bulrushrun/steering/ReturnTime.h"
#include "bulrushrun/steering/RunTimeEstimate.h"
#include "bulrushrun/steering/ServicePriorities.h"
#include "bulrushrun/steering/SteeringState.h"
#include "bulrushrun/steering/TargetPicker.h"
#include "bulrushrun/steering/TargetRateMessage.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace bulrushrun {

/// \brief Counters of the proxy, for metrics.
struct RequestProxyCounters
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mRetryCount = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mCallersDisconnected = 0;
};

/// \brief Proxies requests from callers straight to targets.
///
/// The instance that accepts a request also makes all attempts. Since a request reaches only one
/// instance, a request that may not be retried is sent at most once without coordination between
/// instances. The RequestStateMachine decides what may be done with a request, the TargetPicker
/// where it is sent.
///
/// \tparam Codec  header codec with parseRequestMetadata, parsePresentedKey, keyChallengeHeaders,
/// parseResponseMetadata, removeTargetHeaders, setForwardingHeaders and setCustomerHeaders
template<class HostType, class Codec>
class RequestProxy
{
public:
  using ResponderType = typename HostType::ResponderType;
  using ResponderPtr = std::shared_ptr<ResponderType>;

  RequestProxy(HostType& aHost, SteeringState& aState)
    : mHost(aHost)
    , mSteeringState(aState)
  {
  }

  /// \brief Accepts one request.
  /// \param aArrived  when it arrived at the instance; its deadline counts from then
  void accept(HttpRequest aRequest, ResponderPtr aResponder, TimePoint aArrived);
  /// \brief \returns true for a request without a body that may be attempted while earlier ones of
  /// its connection are in progress: it is idempotent, and this instance does not drain.
  bool mayRunAhead(const HttpRequest& aRequest) const;
  /// \brief Ends requests whose callers disconnected, and drops the statistics of unknown targets.
  void sweep();
  /// \brief Ends all requests in progress: a caller learns that its request may have run, or that
  /// it has not.
  void endAll();
  /// \brief \returns the number of requests in progress.
  std::size_t requestsInProgress() const { return mRequests.size(); }
  const RequestProxyCounters& counters() const { return mCounters; }
  const ServiceMetrics& metrics() const { return mMetrics; }
  const CustomerMetrics& customerMetrics() const { return mCustomerMetrics; }
  const AdmissionMetrics& admissionMetrics() const { return mAdmissionMetrics; }
  const RegionShares& regionShares() const { return mRegionShares; }
  /// \brief Sets the callback for responses that show that a target is leaving, was replaced or is
  /// cold.
  void setOnTargetUpdate(std::function<void(const TargetAttempt&)> aOnUpdate)
  {
    mOnTargetUpdate = std::move(aOnUpdate);
  }
  /// \brief Sets the callback for objects that were placed at a target.
  void setOnPlaced(std::function<void(const Placement&)> aOnPlaced)
  {
    mOnPlaced = std::move(aOnPlaced);
  }
  /// \brief Sets the callback for the loads that targets report.
  void setOnLoadReport(std::function<void(const TargetId&, const LoadReport&)> aOnLoadReport)
  {
    mOnLoadReport = std::move(aOnLoadReport);
  }
  /// \brief Takes the load of a target that another instance learned.
  void onPeerLoad(const TargetLoad& aLoad)
  {
    if (mSteeringState.mTargets.find(aLoad.mTarget) != nullptr) {
      mPicker.stats(aLoad.mTarget).onReport(aLoad.mRequests, mHost.now());
    }
  }
  /// \brief Takes the speed of a target that another instance learned.
  void onPeerSlowdown(const TargetSlowdown& aSlowdown)
  {
    const KnownTarget* target = mSteeringState.mTargets.find(aSlowdown.mTarget);
    if (target != nullptr) {
      onSlowdown(target->mEntry.mService, aSlowdown);
    }
  }
  /// \brief Sets the callback for rates that targets named, changed or no longer name.
  void setOnTargetRate(std::function<void(const TargetRate&)> aOnTargetRate)
  {
    mOnTargetRate = std::move(aOnTargetRate);
  }
  /// \brief Takes the rate of a target that another instance learned.
  void onPeerRate(const TargetRate& aRate);
  /// \brief Sets the gate that admits requests of customers within their quotas.
  void setQuotaGate(QuotaGate<HostType>& aGate)
  {
    mQuotaGate = &aGate;
    aGate.setOnDecision(
      [this](RequestId aId, const QuotaAnswer& aAnswer) { onQuotaDecision(aId, aAnswer); });
  }
  /// \brief Refuses the requests that wait for tokens of their customer's quota.
  void refuseWaiting();
  PlacementTable& placements() { return mPicker.placements(); }

private:
  using Request = ProxiedRequest<ResponderType>;

  /// Responses up to this size are buffered until complete, so that a request can be retried when
  /// its response is truncated.
  static constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{ 256 } * 1024;
  /// A longer body of a refusal is not read to its end; the refusal then counts as truncated.
  static constexpr std::size_t kMaxDiscardedResponseBytes = std::size_t{ 256 } * 1024;
  /// A request is retried after up to this many failed connections.
  static constexpr int kMaxConnectFailures = 3;
  /// Timeout of a request that sets none.
  static constexpr Duration kDefaultTimeout = std::chrono::seconds(10);
  /// Status of the response to a request whose key is refused.
  static constexpr int kUnauthorized = 401;
  /// Bounds of Retry-After, which is the smoothed latency with jitter, so that callers do not
  /// return together. While all targets rest, it comes on top of the remaining rest.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1500);
  /// A target is unresponsive after this multiple of the smoothed latency, or of the route's
  /// latency target if that is longer: usually more than a cold execution behind a queue takes. The
  /// minimum covers the retransmission of a lost packet.
  static constexpr int kUnresponsiveLatencyFactor = 4;
  static constexpr int kUnresponsiveTargetFactor = 2;
  static constexpr Duration kMinUnresponsiveAfter = std::chrono::milliseconds(800);
  static constexpr const char* kShuttingDownText =
    "this instance is shutting down; use another one";
  /// The rest of a target is prolonged by a random part of up to this fraction, so that the
  /// instances that it turned away do not return together.
  static constexpr double kMaxRestSpread = 0.1;
  /// Retry-After of requests refused before admission, in seconds. Where requests compete for
  /// capacity, callers of an instance that shuts down find it at other instances at once.
  static constexpr const char* kRefusalRetryAfter = "0.5";
  static constexpr const char* kElsewhereRetryAfter = "0.05";
  /// Interval at which the regions to which requests were sent are logged.
  static constexpr Duration kShareLogPeriod = std::chrono::seconds(1);
  /// Interval at which the customers that have metrics of their own are chosen.
  static constexpr Duration kRankingPeriod = std::chrono::seconds(5);
  /// Time that must remain for a retry, as a fraction of the smoothed latency.
  static constexpr double kMinRetryTimeShare = 0.5;
  /// Intervals at which a request whose targets do not respond is checked again: while there is no
  /// further target, and at the least.
  static constexpr Duration kResponseCheckInterval = std::chrono::milliseconds(250);
  static constexpr Duration kMinResponseCheckInterval = std::chrono::milliseconds(20);

  // Admission.
  void refuseBeforeAdmission(ResponderType& aResponder,
                             int aStatus,
                             const std::string& aText,
                             Headers aHeaders = {},
                             const std::string& aLogFields = {});
  bool canEndBeforeExit(const Route& aRoute, TimePoint aDeadline) const;
  TimePoint responseDue(const Request& aRequest) const;
  void recordRunTime(const Request& aRequest, Duration aElapsed);
  static const Route* matchRoute(const RoutePlan& aPlan, const HttpRequest& aRequest);
  const Route* matchOrRefuse(const HttpRequest& aRequest, ResponderType& aResponder);
  bool exceedsLimits(const HttpRequest& aRequest, ResponderType& aResponder);
  void logRegionShares();
  void setCallerCallbacks(Request& aRequest);
  void onCallerDisconnected(RequestId aId);
  bool endIfCallerLeft(Request& aRequest);
  bool mayStillSend(RequestId aId, AttemptId aAttempt);

  // Customers.
  CallerIdentification identify(const HttpRequest& aRequest, const Route& aRoute) const;
  bool admitKey(const CallerIdentification& aCaller,
                ResponderType& aResponder,
                const Route& aRoute,
                const RequestMetadata& aMetadata);
  static std::string keyRefusalText(KeyRefusal aRefusal);
  void setIdentity(Request& aRequest,
                   const CallerIdentification& aCaller,
                   const Route& aRoute) const;
  const Route& routeInForce(const Request& aRequest) const;
  bool refreshIdentity(Request& aRequest);
  void respondKeyRefused(Request& aRequest);
  void updateCustomerMetrics();
  static std::string identityText(const Request& aRequest);
  // Quotas.
  void admitWithinQuota(Request& aRequest);
  void onQuotaDecision(RequestId aId, const QuotaAnswer& aAnswer);
  void refuseOverQuota(Request& aRequest, Duration aRetryAfter);
  bool hasTokenForRepeat(Request& aRequest);
  void releaseToken(Request& aRequest);
  void returnToken(Request& aRequest);

  // Actions of the state machine.
  void apply(RequestId aId, RequestEvent aEvent);
  void perform(Request& aRequest, RequestAction aAction);
  PickResult pickTarget(Request& aRequest);
  static const char* describeFailure(const Request& aRequest, const PickResult& aPick);
  void dispatch(Request& aRequest);
  void announcePlacement(const Request& aRequest, const Placement& aPlacement);
  void respondNotRun(Request& aRequest);
  void respondFailed(Request& aRequest);
  void sendLocalResponse(Request& aRequest,
                         int aStatus,
                         Headers aHeaders,
                         const std::string& aText);
  void finish(Request& aRequest, const char* aOutcome, int aStatus);

  // Retries.
  void retry(Request& aRequest);
  bool mayRetry(Request& aRequest);
  const char* sendAgain(Request& aRequest);
  void scheduleResponseCheck(Request& aRequest, Duration aDelay);
  void checkResponse(RequestId aId);
  Duration smoothedLatency(const ServiceName& aService) const;
  bool hasUsualLatency(const ServiceName& aService) const;
  Duration unresponsiveAfter(const Request& aRequest) const;
  bool isTargetUnresponsive(const Request& aRequest, const TargetAttempt& aAttempt);

  // Attempts at targets.
  void startAttempt(Request& aRequest, const PickResult& aPick);
  ExchangeListener listener(RequestId aId, AttemptId aAttempt);
  void onHead(RequestId aId, AttemptId aAttempt, const ResponseHead& aHead);
  void reportTargetUpdate(Request& aRequest);
  void startRest(const TargetAttempt& aAttempt);
  void updateRateLimit(const Request& aRequest);
  void logRateLimit(const TargetRate& aRate, const char* aSource);
  bool onBody(RequestId aId, AttemptId aAttempt, std::string_view aBytes);
  void onEnd(RequestId aId,
             AttemptId aAttempt,
             ExchangeResult aExchangeResult,
             const std::string& aReason);
  void onComplete(Request& aRequest);
  void interruptAttempt(Request& aRequest, const char* aReason);
  void endUnanswered(RequestId aId, const char* aReason);
  void recordAttemptResult(const Request& aRequest,
                           const TargetAttempt& aAttempt,
                           AttemptResult aResult);
  void logFailedAttempt(const Request& aRequest);
  void startStreaming(Request& aRequest);
  void abandonAttempt(const Request& aRequest, const TargetAttempt& aAttempt);
  void endOtherAttempts(Request& aRequest);
  void abandonAllAttempts(Request& aRequest);
  void forwardHead(Request& aRequest, ResponseHead aHead);
  void forwardWhole(Request& aRequest, ResponseHead aHead, const std::string& aBody);

  // Competition by priority.
  const ServicePriorities& servicePriorities();
  std::optional<AdmissionTerms> makeTerms(Request& aRequest);
  void onSlowdown(const ServiceName& aService, const TargetSlowdown& aSlowdown);
  void onPicked(Request& aRequest, const PickResult& aPick);
  void recordExecution(const Request& aRequest, Duration aElapsed);
  static std::uint64_t repeatHash(const Request& aRequest);
  void countRefusal(const Request& aRequest);
  Duration competitorReturnTime(const Request& aRequest);
  static std::string competitionText(const Request& aRequest);

  // Origin of responses.
  bool isMatching(const Request& aRequest, const ResponseHead& aHead);
  bool isDeclined(const Request& aRequest) const;
  bool isAuthentic(const Request& aRequest) const;
  static bool isSuccess(int aStatus) { return aStatus >= 200 && aStatus < 300; }

  Request* find(RequestId aId);
  Request* findAttempt(RequestId aId, AttemptId aAttempt);
  PickQuery makePickQuery(const Request& aRequest) const;
  std::string retryAfter(const Request& aRequest);

  HostType& mHost;
  SteeringState& mSteeringState;
  QuotaGate<HostType>* mQuotaGate = nullptr;
  TargetPicker mPicker;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> mRequests;
  std::map<ServiceName, RetryBudgetShare> mRetryBudgets;
  std::map<ServiceName, Duration> mLatencies;
  /// By route.
  std::map<std::string, RunTimeEstimate> mRunTimes;
  /// Priorities of the configuration for which they were computed last.
  std::shared_ptr<const RoutePlan> mRankedPlan;
  ServicePriorities mServicePriorities;
  /// Learned execution times by route, and of all requests of a service.
  std::map<std::string, ExecutionTimeLearner> mExecutionTimes;
  std::map<ServiceName, MedianEstimate> mQueuedTimes;
  EarlyRepeats mEarlyRepeats;
  /// Services whose targets state how long work takes.
  std::set<ServiceName> mSpeedReporters;
  AdmissionMetrics mAdmissionMetrics;
  std::map<std::string, WeightedRoundRobin> mServiceSplits;
  std::function<void(const TargetAttempt&)> mOnTargetUpdate;
  std::function<void(const Placement&)> mOnPlaced;
  std::function<void(const TargetId&, const LoadReport&)> mOnLoadReport;
  std::function<void(const TargetRate&)> mOnTargetRate;
  RequestProxyCounters mCounters;
  ServiceMetrics mMetrics;
  CustomerMetrics mCustomerMetrics;
  /// Version whose customers the metrics have.
  ConfigurationVersion mMetricsVersion;
  TimePoint mCustomersRankedAt;
  RegionShares mRegionShares;
  TimePoint mSharesLoggedAt;
  RequestId mLastId;
};

} // namespace bulrushrun

// Definitions of the member functions: admission.
#include "bulrushrun/steering/RequestProxyAdmission.h"
// Customers.
#include "bulrushrun/steering/RequestProxyIdentity.h"
// Admission within quotas.
#include "bulrushrun/steering/RequestProxyQuota.h"
// Actions of the state machine.
#include "bulrushrun/steering/RequestProxyActions.h"
// Retries, and further attempts while a target does not respond.
#include "bulrushrun/steering/RequestProxyRetry.h"
// Competition by priority.
#include "bulrushrun/steering/RequestProxyCompetition.h"
// Attempts at targets.
#include "bulrushrun/steering/RequestProxyExchange.h"
// Origin of responses.
#include "bulrushrun/steering/RequestProxyOrigin.h"
// What responses tell about the targets.
#include "bulrushrun/steering/RequestProxyTargetUpdates.h"
