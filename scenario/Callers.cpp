#include "scenario/Callers.h"

#include <nlohmann/json.hpp>

namespace bulrushrun::scenario {

namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 5;
constexpr Duration kRepeatDelay = std::chrono::milliseconds(200);
constexpr Duration kPatience = std::chrono::seconds(3);

} // namespace

Callers::Callers(World& aWorld, const CallerOptions& aOptions, std::uint64_t aSeed)
  : mWorld(aWorld)
  , mOptions(aOptions)
  , mRandom(aSeed)
{
  for (const Tenant& tenant : mWorld.document().mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const RequestClass& requestClass : service.mClasses) {
        for (const Region& region : mWorld.document().mRegions) {
          for (const ZoneName& zone : region.mZones) {
            mStreams.push_back({ { tenant.mName, service.mName }, requestClass, zone });
          }
        }
      }
    }
  }
}

std::string Callers::classOf(const Call& aCall)
{
  return aCall.mStream.mService.mService.text() + "/" + aCall.mStream.mClass.mName.text();
}

void Callers::start(TimePoint aEnd)
{
  mEnd = aEnd;
  next();
}

void Callers::next()
{
  mWorld.network().after(fromSeconds(mRandom.exponential(1 / mOptions.mRate)), [this] {
    if (mWorld.network().now() < mEnd) {
      send(mStreams[mRandom.below(mStreams.size())]);
      next();
    }
  });
}

void Callers::send(const Stream& aStream)
{
  const CallPtr call = std::make_shared<Call>();
  call->mStream = aStream;
  call->mName = "call-" + std::to_string(++mLast);
  call->mDue = mWorld.network().now();
  if (!aStream.mClass.mRepeatable) {
    call->mKey = "key-" + std::to_string(mLast);
  }
  mWorld.judge().onSent(classOf(*call));
  attempt(call);
  if (!call->mKey.empty() && mRandom.chance(mOptions.mTwiceShare)) {
    attempt(call);
  }
}

std::optional<Callers::Route> Callers::askAnInstance(const Stream& aStream,
                                                     const std::string& aPath)
{
  VirtualNetwork& network = mWorld.network();
  std::vector<NodeIndex> reachable;
  for (NodeIndex node = 0; node < mWorld.nodeCount(); ++node) {
    const bool usable = network.isUp(node) && !network.isPaused(node) &&
                        !network.isCut(aStream.mZone, network.zoneOf(node));
    if (usable) {
      reachable.push_back(node);
    }
  }
  if (reachable.empty()) {
    return std::nullopt;
  }
  const NodeIndex asked = reachable[mRandom.below(reachable.size())];
  const std::string* text = mWorld.instance(asked).lookup(aPath);
  if (text == nullptr) {
    return std::nullopt;
  }
  const Json answer = Json::parse(*text);
  Route route;
  route.mUntil = network.now() + std::chrono::milliseconds(answer.at("ttl_ms").get<int>());
  for (const Json& instance : answer.at("instances")) {
    for (int i = 0; i < instance.at("weight").get<int>(); ++i) {
      route.mInstances.push_back(*parseEndpoint(instance.at("address").get<std::string>()));
    }
  }
  return route;
}

std::optional<Endpoint> Callers::lookUp(const Stream& aStream)
{
  const std::string path = std::string(kLookupPrefix) + aStream.mService.mTenant.text() + "/" +
                           aStream.mService.mService.text() + "/" + aStream.mZone.text();
  Route& route = mRoutes[path];
  if (mWorld.network().now() >= route.mUntil) {
    const std::optional<Route> fresh = askAnInstance(aStream, path);
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

HttpRequest Callers::requestOf(const Attempt& aAttempt) const
{
  const Call& call = *aAttempt.mCall;
  const std::string& seed = call.mKey.empty() ? aAttempt.mName : call.mKey;
  HttpRequest request{ call.mKey.empty() ? "GET" : "POST",
                       "/work",
                       { { headers::kTenant, call.mStream.mService.mTenant.text() },
                         { headers::kService, call.mStream.mService.mService.text() },
                         { headers::kClass, call.mStream.mClass.mName.text() },
                         { headers::kCallerZone, call.mStream.mZone.text() },
                         { kCallHeader, aAttempt.mName },
                         { kBodyHeader, seed } },
                       call.mKey };
  if (!call.mKey.empty()) {
    request.mHeaders.push_back({ headers::kKey, call.mKey });
  }
  return request;
}

void Callers::attempt(const CallPtr& aCall)
{
  ++aCall->mAttempts;
  const std::optional<Endpoint> instance = lookUp(aCall->mStream);
  if (!instance) {
    again(aCall);
    return;
  }
  const AttemptPtr attempt = std::make_shared<Attempt>();
  attempt->mCall = aCall;
  attempt->mName = aCall->mName + "-" + std::to_string(aCall->mAttempts);
  attempt->mHangUp =
    mWorld.callInstance(aCall->mStream.mZone,
                        *instance,
                        requestOf(*attempt),
                        [this, attempt](const ReplyEvent& aEvent) { onReply(attempt, aEvent); });
  const bool leaves = mRandom.chance(mOptions.mLeaveShare);
  const Duration wait =
    leaves ? fromSeconds(0.05 * mRandom.unit()) : aCall->mStream.mClass.mDeadline + kPatience;
  mWorld.network().after(wait, [this, attempt] {
    if (!attempt->mEnded) {
      attempt->mEnded = true;
      attempt->mHangUp();
      again(attempt->mCall);
    }
  });
}

void Callers::onReply(const AttemptPtr& aAttempt, const ReplyEvent& aEvent)
{
  if (aAttempt->mEnded) {
    return;
  }
  if (const HeadArrives* head = std::get_if<HeadArrives>(&aEvent)) {
    aAttempt->mHead = head->mHead;
    aAttempt->mHasHead = true;
  } else if (const BodyArrives* body = std::get_if<BodyArrives>(&aEvent)) {
    aAttempt->mBody += body->mBytes;
  } else if (const EndArrives* end = std::get_if<EndArrives>(&aEvent)) {
    aAttempt->mEnded = true;
    onEnd(aAttempt, end->mEnd);
  }
}

void Callers::onEnd(const AttemptPtr& aAttempt, ExchangeResult aEnd)
{
  const std::string* outcome = findHeader(aAttempt->mHead.mHeaders, headers::kOutcome);
  if (aEnd == ExchangeResult::Complete && outcome != nullptr) {
    onOutcome(aAttempt, *outcome);
  } else {
    mRoutes.clear();
    again(aAttempt->mCall);
  }
}

void Callers::onOutcome(const AttemptPtr& aAttempt, const std::string& aOutcome)
{
  Judge& judge = mWorld.judge();
  Call& call = *aAttempt->mCall;
  const std::string name = classOf(call);
  if (aOutcome == outcomeText(Outcome::NotRun)) {
    judge.onNotRun(name, aAttempt->mName);
    call.mDone = true;
  } else if (aOutcome == outcomeText(Outcome::Answered)) {
    const std::string& seed = call.mKey.empty() ? aAttempt->mName : call.mKey;
    judge.onAnswered(name, seed, aAttempt->mBody, mWorld.network().now() - call.mDue);
    call.mDone = true;
  } else {
    again(aAttempt->mCall);
  }
}

/// Repeats a request; one with a key under the same key.
void Callers::again(const CallPtr& aCall)
{
  if (aCall->mDone) {
    return;
  }
  if (aCall->mAttempts >= kMaxAttempts) {
    aCall->mDone = true;
    aCall->mKey.empty() ? mWorld.judge().onFailed(classOf(*aCall))
                        : mWorld.judge().onUnknown(classOf(*aCall));
    return;
  }
  mWorld.network().after(kRepeatDelay, [this, aCall] { attempt(aCall); });
}

} // namespace bulrushrun::scenario
