#include "load/LoadGenerator.h"

#include "bulrushrun/forwarding/Refusal.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bulrushrun::load {

namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 6;
constexpr Duration kRepeatDelay = std::chrono::milliseconds(100);

std::string pathOf(const RequestStream& aStream)
{
  return "/v1/lookup/" + aStream.mService.mTenant.text() + "/" + aStream.mService.mService.text() +
         "/" + aStream.mZone.text();
}

} // namespace

LoadGenerator::LoadGenerator(EventLoop& aLoop, std::vector<Endpoint> aInstances, Random aRandom)
  : mLoop(aLoop)
  , mClient(aLoop)
  , mInstances(std::move(aInstances))
  , mRandom(aRandom)
{
}

ClassCounters& LoadGenerator::counters(const RequestStream& aStream)
{
  return mCounters[aStream.mService.mService.text() + "/" + aStream.mClass.mName.text()];
}

void LoadGenerator::send(const RequestStream& aStream, TimePoint aDue)
{
  const CallPtr call = std::make_shared<Call>();
  call->mStream = aStream;
  call->mDue = aDue;
  if (!aStream.mClass.mRepeatable) {
    call->mKey = mRandom.token();
  }
  ++mPending;
  ++counters(aStream).mSent;
  lookUp(call);
}

void LoadGenerator::lookUp(const CallPtr& aCall)
{
  const std::string path = pathOf(aCall->mStream);
  const auto route = mRoutes.find(path);
  if (route != mRoutes.end() && EventLoop::now() < route->second.mUntil) {
    attempt(aCall, route->second);
    return;
  }
  const std::shared_ptr<HttpResponse> response = std::make_shared<HttpResponse>();
  ExchangeListener listener;
  listener.mOnHead = [response](const ResponseHead& aHead) { response->mHead = aHead; };
  listener.mOnBody = [response](std::string_view aBytes) {
    response->mBody.append(aBytes);
    return true;
  };
  listener.mOnEnd = [=, this](ExchangeResult aEnd, const std::string&) {
    const bool usable = aEnd == ExchangeResult::Complete && response->mHead.mStatus == 200;
    usable ? onLookUp(aCall, path, *response) : retry(aCall);
  };
  mClient.start(mInstances[mRandom.below(mInstances.size())],
                { "GET", path, {}, {} },
                ConnectionUse::Pooled,
                std::move(listener));
}

void LoadGenerator::onLookUp(const CallPtr& aCall,
                             const std::string& aPath,
                             const HttpResponse& aResponse)
{
  const Json answer = Json::parse(aResponse.mBody, nullptr, false);
  Route route;
  for (const char* list : { "instances", "fallback" }) {
    for (const Json& instance : answer.value(list, Json::array())) {
      const std::optional<Endpoint> endpoint = parseEndpoint(instance.value("address", ""));
      if (endpoint) {
        route.mInstances.emplace_back(*endpoint, instance.value("weight", 1U));
      }
    }
    if (!route.mInstances.empty()) {
      break;
    }
  }
  if (route.mInstances.empty()) {
    retry(aCall);
    return;
  }
  route.mUntil = EventLoop::now() + std::chrono::milliseconds(answer.value("ttl_ms", 0));
  mRoutes[aPath] = route;
  attempt(aCall, route);
}

void LoadGenerator::attempt(const CallPtr& aCall, const Route& aRoute)
{
  std::uint64_t weights = 0;
  for (const auto& [endpoint, weight] : aRoute.mInstances) {
    weights += weight;
  }
  std::uint64_t pick = mRandom.below(weights);
  Endpoint chosen;
  for (const auto& [endpoint, weight] : aRoute.mInstances) {
    chosen = endpoint;
    if (pick < weight) {
      break;
    }
    pick -= weight;
  }
  ++aCall->mAttempts;
  aCall->mBytes = 0;
  HttpRequest request{ aCall->mKey.empty() ? "GET" : "POST",
                       "/work",
                       { { headers::kTenant, aCall->mStream.mService.mTenant.text() },
                         { headers::kService, aCall->mStream.mService.mService.text() },
                         { headers::kClass, aCall->mStream.mClass.mName.text() } },
                       aCall->mKey };
  if (!aCall->mKey.empty()) {
    request.mHeaders.push_back({ headers::kKey, aCall->mKey });
  }
  ExchangeListener listener;
  listener.mOnHead = [aCall](const ResponseHead& aHead) { aCall->mHead = aHead; };
  listener.mOnBody = [aCall](std::string_view aBytes) {
    aCall->mBytes += aBytes.size();
    return true;
  };
  listener.mOnEnd = [=, this](ExchangeResult aEnd, const std::string&) { onEnd(aCall, aEnd); };
  mClient.start(chosen, request, ConnectionUse::Pooled, std::move(listener));
}

void LoadGenerator::onEnd(const CallPtr& aCall, ExchangeResult aEnd)
{
  if (aEnd != ExchangeResult::Complete) {
    mRoutes.erase(pathOf(aCall->mStream));
    retry(aCall);
    return;
  }
  const std::string* outcome = findHeader(aCall->mHead.mHeaders, headers::kOutcome);
  if (outcome == nullptr || *outcome == "failed") {
    end(aCall, &ClassCounters::mFailed);
  } else if (*outcome == "not-run") {
    end(aCall, &ClassCounters::mNotRun);
  } else if (*outcome == "unknown") {
    retry(aCall);
  } else if (aCall->mHead.mLength && *aCall->mHead.mLength != aCall->mBytes) {
    end(aCall, &ClassCounters::mTruncated);
  } else {
    end(aCall, &ClassCounters::mAnswered);
  }
}

/// Repeats a request: repeatable ones freely, others under their key.
void LoadGenerator::retry(const CallPtr& aCall)
{
  if (++aCall->mAttempts >= kMaxAttempts) {
    end(aCall, &ClassCounters::mUnknown);
    return;
  }
  ++counters(aCall->mStream).mRepeated;
  mLoop.after(kRepeatDelay, [this, aCall] { lookUp(aCall); });
}

void LoadGenerator::end(const CallPtr& aCall, std::uint64_t ClassCounters::*aCounter)
{
  --mPending;
  ClassCounters& tallied = counters(aCall->mStream);
  ++(tallied.*aCounter);
  if (aCounter == &ClassCounters::mAnswered) {
    tallied.mLatencies.push_back(EventLoop::now() - aCall->mDue);
  }
}

} // namespace bulrushrun::load
