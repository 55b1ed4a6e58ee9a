#include "scenario/Callers.h"

#include <nlohmann/json.hpp>

namespace bulrushrun::scenario {

namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 5;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kCallerTimeout = std::chrono::seconds(3);

} // namespace

Callers::Callers(Simulation& aSimulation, const CallerOptions& aOptions, std::uint64_t aSeed)
  : mSimulation(aSimulation)
  , mOptions(aOptions)
  , mRandom(aSeed)
{
  for (const Tenant& tenant : mSimulation.document().mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const RequestClass& requestClass : service.mClasses) {
        for (const Region& region : mSimulation.document().mRegions) {
          for (const ZoneName& zone : region.mZones) {
            mStreams.push_back({ { tenant.mName, service.mName }, requestClass, zone });
          }
        }
      }
    }
  }
}

std::string Callers::classOf(const CallerRequest& aRequest)
{
  return aRequest.mStream.mService.mService.text() + "/" + aRequest.mStream.mClass.mName.text();
}

void Callers::start(TimePoint aEnd)
{
  mEnd = aEnd;
  scheduleNext();
}

void Callers::scheduleNext()
{
  mSimulation.network().after(fromSeconds(mRandom.exponential(1 / mOptions.mRate)), [this] {
    if (mSimulation.network().now() < mEnd) {
      sendRequest(mStreams[mRandom.below(mStreams.size())]);
      scheduleNext();
    }
  });
}

void Callers::sendRequest(const RequestStream& aStream)
{
  const CallerRequestPtr request = std::make_shared<CallerRequest>();
  request->mStream = aStream;
  request->mName = "call-" + std::to_string(++mLast);
  request->mDue = mSimulation.network().now();
  if (!aStream.mClass.mRepeatable) {
    request->mKey = "key-" + std::to_string(mLast);
  }
  mSimulation.checker().onSent(classOf(*request));
  startAttempt(request);
  if (!request->mKey.empty() && mRandom.chance(mOptions.mDuplicateShare)) {
    startAttempt(request);
  }
}

std::optional<Callers::Route> Callers::requestRoute(const RequestStream& aStream,
                                                    const std::string& aPath)
{
  VirtualNetwork& network = mSimulation.network();
  std::vector<NodeIndex> reachable;
  for (NodeIndex node = 0; node < mSimulation.nodeCount(); ++node) {
    const bool usable = network.isUp(node) && !network.isPaused(node) &&
                        !network.isCut(aStream.mZone, network.zoneOf(node));
    if (usable) {
      reachable.push_back(node);
    }
  }
  if (reachable.empty()) {
    return std::nullopt;
  }
  const NodeIndex queried = reachable[mRandom.below(reachable.size())];
  const std::string* text = mSimulation.instance(queried).lookup(aPath);
  if (text == nullptr) {
    return std::nullopt;
  }
  const Json response = Json::parse(*text);
  Route route;
  route.mUntil = network.now() + std::chrono::milliseconds(response.at("ttl_ms").get<int>());
  for (const Json& instance : response.at("instances")) {
    for (int i = 0; i < instance.at("weight").get<int>(); ++i) {
      route.mInstances.push_back(*parseEndpoint(instance.at("address").get<std::string>()));
    }
  }
  return route;
}

std::optional<Endpoint> Callers::lookupInstance(const RequestStream& aStream)
{
  const std::string path = std::string(kLookupPrefix) + aStream.mService.mTenant.text() + "/" +
                           aStream.mService.mService.text() + "/" + aStream.mZone.text();
  Route& route = mRoutes[path];
  if (mSimulation.network().now() >= route.mUntil) {
    const std::optional<Route> fresh = requestRoute(aStream, path);
    if (!fresh) {
      return std::nullopt;
    }
    route = *fresh;
  }
  if (route.mInstances.empty()) {
    return std::nullopt;
  }
  return route.mInstances[mRandom.below(route.mInstances.size())];
}

HttpRequest Callers::makeHttpRequest(const Attempt& aAttempt) const
{
  const CallerRequest& request = *aAttempt.mRequest;
  const std::string& seed = request.mKey.empty() ? aAttempt.mName : request.mKey;
  HttpRequest httpRequest{ request.mKey.empty() ? "GET" : "POST",
                           "/work",
                           { { headers::kTenant, request.mStream.mService.mTenant.text() },
                             { headers::kService, request.mStream.mService.mService.text() },
                             { headers::kClass, request.mStream.mClass.mName.text() },
                             { headers::kCallerZone, request.mStream.mZone.text() },
                             { kAttemptHeader, aAttempt.mName },
                             { kBodySeedHeader, seed } },
                           request.mKey };
  if (!request.mKey.empty()) {
    httpRequest.mHeaders.push_back({ headers::kKey, request.mKey });
  }
  return httpRequest;
}

void Callers::startAttempt(const CallerRequestPtr& aRequest)
{
  ++aRequest->mAttempts;
  const std::optional<Endpoint> instance = lookupInstance(aRequest->mStream);
  if (!instance) {
    retry(aRequest);
    return;
  }
  const AttemptPtr attempt = std::make_shared<Attempt>();
  attempt->mRequest = aRequest;
  attempt->mName = aRequest->mName + "-" + std::to_string(aRequest->mAttempts);
  attempt->mDisconnect = mSimulation.callInstance(
    aRequest->mStream.mZone,
    *instance,
    makeHttpRequest(*attempt),
    [this, attempt](const ResponseEvent& aEvent) { onResponseEvent(attempt, aEvent); });
  const bool disconnects = mRandom.chance(mOptions.mDisconnectShare);
  const Duration wait = disconnects ? fromSeconds(0.05 * mRandom.unit())
                                    : aRequest->mStream.mClass.mDeadline + kCallerTimeout;
  mSimulation.network().after(wait, [this, attempt] {
    if (!attempt->mEnded) {
      attempt->mEnded = true;
      attempt->mDisconnect();
      retry(attempt->mRequest);
    }
  });
}

void Callers::onResponseEvent(const AttemptPtr& aAttempt, const ResponseEvent& aEvent)
{
  if (aAttempt->mEnded) {
    return;
  }
  if (const HeadReceived* head = std::get_if<HeadReceived>(&aEvent)) {
    aAttempt->mHead = head->mHead;
    aAttempt->mHasHead = true;
  } else if (const BodyReceived* body = std::get_if<BodyReceived>(&aEvent)) {
    aAttempt->mBody += body->mBytes;
  } else if (const ExchangeEnded* end = std::get_if<ExchangeEnded>(&aEvent)) {
    aAttempt->mEnded = true;
    onEnd(aAttempt, end->mResult);
  }
}

void Callers::onEnd(const AttemptPtr& aAttempt, ExchangeResult aResult)
{
  const std::string* outcome = findHeader(aAttempt->mHead.mHeaders, headers::kOutcome);
  if (aResult == ExchangeResult::Complete && outcome != nullptr) {
    onOutcome(aAttempt, *outcome);
  } else {
    mRoutes.clear();
    retry(aAttempt->mRequest);
  }
}

void Callers::onOutcome(const AttemptPtr& aAttempt, const std::string& aOutcome)
{
  InvariantChecker& checker = mSimulation.checker();
  CallerRequest& request = *aAttempt->mRequest;
  const std::string name = classOf(request);
  if (aOutcome == outcomeText(Outcome::NotRun)) {
    checker.onNotRun(name, aAttempt->mName);
    request.mDone = true;
  } else if (aOutcome == outcomeText(Outcome::Answered)) {
    const std::string& seed = request.mKey.empty() ? aAttempt->mName : request.mKey;
    checker.onAnswered(name, seed, aAttempt->mBody, mSimulation.network().now() - request.mDue);
    request.mDone = true;
  } else {
    retry(aAttempt->mRequest);
  }
}

/// Schedules another attempt, under the same idempotency key if there is one.
/// After the last attempt the request counts as failed, or with a key as of unknown outcome.
void Callers::retry(const CallerRequestPtr& aRequest)
{
  if (aRequest->mDone) {
    return;
  }
  if (aRequest->mAttempts >= kMaxAttempts) {
    aRequest->mDone = true;
    aRequest->mKey.empty() ? mSimulation.checker().onFailed(classOf(*aRequest))
                           : mSimulation.checker().onUnknown(classOf(*aRequest));
    return;
  }
  mSimulation.network().after(kRetryDelay, [this, aRequest] { startAttempt(aRequest); });
}

} // namespace bulrushrun::scenario
