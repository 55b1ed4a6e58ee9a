#pragma once

#include "bulrushrun/limits/RetryBudgetShare.h"
#include "bulrushrun/metrics/ServiceMetrics.h"
#include "bulrushrun/steering/ProxiedRequest.h"
#include "bulrushrun/steering/TargetPicker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace bulrushrun {

/// \brief State of the fleet that the carrier reads; owned by the instance.
struct SteeringState
{
  std::shared_ptr<const RoutePlan> mPlan;
  TargetTable mTargets;
  PickContext mContext;
  RetryBudgetPolicy mRetryBudgetPolicy;
  /// Factor and constant of the bound on cold targets: rate x factor + slack.
  double mColdFactor = 1;
  double mColdSlack = 0;
  /// Instances that may exist, and share what is bounded for the fleet.
  std::size_t mInstanceCount = 1;
  /// When what is known of targets was current at the store.
  TimePoint mCurrentAt;
  /// A planned stop is under way: callers are to leave their connections.
  bool mDraining = false;
  /// Too little of the stop's grace is left for new requests.
  bool mRejectingRequests = false;
};

/// \brief Counters of the carrier, for metrics.
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

/// \brief Carries requests from callers straight to targets.
///
/// The instance that took a request sends it; a request reaches one instance only, so that one that
/// may not be repeated is sent at most once without any agreement. What may be done with a request
/// is decided by its RequestStateMachine, where it goes by the TargetPicker.
///
/// \tparam Wire  translator of headers: parseRequestMetadata, parseResponseMetadata and stamp
template<class HostType, class Wire>
class RequestProxy
{
public:
  using ResponderType = typename HostType::ResponderType;
  using ResponderPtr = std::shared_ptr<ResponderType>;

  RequestProxy(HostType& aHost, SteeringState& aView)
    : mHost(aHost)
    , mView(aView)
  {
  }

  /// \brief Takes one request in.
  /// \param aArrived  when it arrived at the instance, from which its time counts
  void accept(HttpRequest aRequest, ResponderPtr aResponder, TimePoint aArrived);
  /// \brief Ends requests whose callers have left, and forgets unknown targets.
  void sweep();
  /// \brief \returns requests in progress.
  std::size_t inProgress() const { return mRequests.size(); }
  const RequestProxyCounters& counters() const { return mCounters; }
  const ServiceMetrics& metrics() const { return mMetrics; }
  /// \brief Sets what runs when an answer shows that a target leaves or was replaced.
  void setOnTargetUpdate(std::function<void(const TargetId&, const ResponseMetadata&)> aOnNews)
  {
    mOnTargetUpdate = std::move(aOnNews);
  }

private:
  using Request = ProxiedRequest<ResponderType>;

  /// Longest answer that is held back until it is whole, so that a broken one can be repeated.
  static constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{ 256 } * 1024;
  /// Connections that may fail for one request.
  static constexpr int kMaxConnectFailures = 3;
  /// Deadline of a request that names none.
  static constexpr Duration kDefaultTimeout = std::chrono::seconds(10);
  /// Retry-After: part of the usual answer time, spread so that returns do not come together.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1500);
  /// A target is taken for silent after this many times the usual answer time, or the time that the
  /// operator aims at: more than a cold run behind a queue takes, as a rule; and not before a span
  /// that covers a lost packet.
  static constexpr int kUnresponsiveLatencyFactor = 4;
  static constexpr int kUnresponsiveTargetFactor = 2;
  static constexpr Duration kMinUnresponsiveAfter = std::chrono::milliseconds(800);
  /// Least time that a repeat needs, as part of the usual answer time.
  static constexpr double kMinRetryTimeShare = 0.5;

  // Admission.
  void refuseBeforeAdmission(ResponderType& aResponder, int aStatus, const std::string& aText);
  bool exceedsLimits(const HttpRequest& aRequest, ResponderType& aResponder);
  void setCallerCallbacks(Request& aRequest);
  void onCallerDisconnected(RequestId aId);

  // Actions of the machine.
  void apply(RequestId aId, RequestEvent aEvent);
  void perform(Request& aRequest, RequestAction aAction);
  void dispatch(Request& aRequest);
  void retry(Request& aRequest);
  bool mayRetry(const Request& aRequest);
  void respondNotRun(Request& aRequest);
  void respondFailed(Request& aRequest);
  void sendLocalResponse(Request& aRequest,
                         int aStatus,
                         Headers aHeaders,
                         const std::string& aText);
  void finish(Request& aRequest, const char* aOutcome, int aStatus);

  // One exchange with a target.
  void send(Request& aRequest, const PickResult& aPick);
  ExchangeListener listener(RequestId aId);
  void onHead(RequestId aId, const ResponseHead& aHead);
  bool onBody(RequestId aId, std::string_view aBytes);
  void onEnd(RequestId aId, ExchangeResult aEnd, const std::string& aReason);
  void onComplete(Request& aRequest);
  void onDeadline(RequestId aId);
  void onResponseTimeout(RequestId aId, int aDispatch);
  void recordAttemptResult(const Request& aRequest, AttemptResult aResult);
  void logFailedAttempt(const Request& aRequest, Duration aTook);
  void startStreaming(Request& aRequest);
  void abandonAttempt(Request& aRequest);
  void forwardHead(Request& aRequest, std::optional<std::uint64_t> aLength);
  bool isAuthentic(const TargetAttempt& aSend) const;

  Request* find(RequestId aId);
  PickQuery makePickQuery(const Request& aRequest) const;
  std::string retryAfter(const Request& aRequest);
  Duration smoothedLatency(const ServiceName& aService) const;
  Duration unresponsiveAfter(const Request& aRequest) const;
  bool isTargetUnresponsive(const Request& aRequest);

  HostType& mHost;
  SteeringState& mView;
  TargetPicker mPicker;
  std::unordered_map<std::uint64_t, std::unique_ptr<Request>> mRequests;
  std::map<ServiceName, RetryBudgetShare> mRetryBudgets;
  std::map<ServiceName, Duration> mLatencies;
  std::map<std::string, WeightedRoundRobin> mSplits;
  std::function<void(const TargetId&, const ResponseMetadata&)> mOnTargetUpdate;
  RequestProxyCounters mCounters;
  ServiceMetrics mMetrics;
  RequestId mLastId;
};

} // namespace bulrushrun

// Member functions, by duty: admission.
#include "bulrushrun/steering/RequestProxyAdmission.h"
// The machine's actions.
#include "bulrushrun/steering/RequestProxyActions.h"
// Exchanges with targets.
#include "bulrushrun/steering/RequestProxyExchange.h"
