#include "load/LoadGenerator.h"

#include "bulrushrun/forwarding/Refusal.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bulrushrun::load {

namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 6;
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

std::string lookupPath(const RequestStream& aStream)
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
    call->mIdempotencyKey = mRandom.token();
  }
  ++mPending;
  ++counters(aStream).mSent;
  findInstances(call);
}

void LoadGenerator::findInstances(const CallPtr& aCall)
{
  const std::string path = lookupPath(aCall->mStream);
  const auto cached = mLookupCache.find(path);
  if (cached != mLookupCache.end() && EventLoop::now() < cached->second.mExpiresAt) {
    attempt(aCall, cached->second);
    return;
  }
  const std::shared_ptr<HttpResponse> response = std::make_shared<HttpResponse>();
  ExchangeListener listener;
  listener.mOnHead = [response](const ResponseHead& aHead) { response->mHead = aHead; };
  listener.mOnBody = [response](std::string_view aBytes) {
    response->mBody.append(aBytes);
    return true;
  };
  listener.mOnEnd = [=, this](ExchangeResult aResult, const std::string&) {
    const bool usable = aResult == ExchangeResult::Complete && response->mHead.mStatus == 200;
    usable ? onLookupResponse(aCall, path, *response) : retry(aCall);
  };
  mClient.start(mInstances[mRandom.below(mInstances.size())],
                { "GET", path, {}, {} },
                ConnectionUse::Pooled,
                std::move(listener));
}

void LoadGenerator::onLookupResponse(const CallPtr& aCall,
                                     const std::string& aPath,
                                     const HttpResponse& aResponse)
{
  const Json lookup = Json::parse(aResponse.mBody, nullptr, false);
  CachedLookup cached;
  for (const char* list : { "instances", "fallback" }) {
    for (const Json& instance : lookup.value(list, Json::array())) {
      const std::optional<Endpoint> endpoint = parseEndpoint(instance.value("address", ""));
      if (endpoint) {
        cached.mInstances.emplace_back(*endpoint, instance.value("weight", 1U));
      }
    }
    if (!cached.mInstances.empty()) {
      break;
    }
  }
  if (cached.mInstances.empty()) {
    retry(aCall);
    return;
  }
  cached.mExpiresAt = EventLoop::now() + std::chrono::milliseconds(lookup.value("ttl_ms", 0));
  mLookupCache[aPath] = cached;
  attempt(aCall, cached);
}

void LoadGenerator::attempt(const CallPtr& aCall, const CachedLookup& aLookup)
{
  std::uint64_t totalWeight = 0;
  for (const auto& [endpoint, weight] : aLookup.mInstances) {
    totalWeight += weight;
  }
  std::uint64_t pick = mRandom.below(totalWeight);
  Endpoint chosen;
  for (const auto& [endpoint, weight] : aLookup.mInstances) {
    chosen = endpoint;
    if (pick < weight) {
      break;
    }
    pick -= weight;
  }
  ++aCall->mAttempts;
  aCall->mBytes = 0;
  HttpRequest request{ aCall->mIdempotencyKey.empty() ? "GET" : "POST",
                       "/work",
                       { { headers::kTenant, aCall->mStream.mService.mTenant.text() },
                         { headers::kService, aCall->mStream.mService.mService.text() },
                         { headers::kClass, aCall->mStream.mClass.mName.text() } },
                       aCall->mIdempotencyKey };
  if (!aCall->mIdempotencyKey.empty()) {
    request.mHeaders.push_back({ headers::kKey, aCall->mIdempotencyKey });
  }
  ExchangeListener listener;
  listener.mOnHead = [aCall](const ResponseHead& aHead) { aCall->mHead = aHead; };
  listener.mOnBody = [aCall](std::string_view aBytes) {
    aCall->mBytes += aBytes.size();
    return true;
  };
  listener.mOnEnd = [=, this](ExchangeResult aResult, const std::string&) {
    onEnd(aCall, aResult);
  };
  mClient.start(chosen, request, ConnectionUse::Pooled, std::move(listener));
}

void LoadGenerator::onEnd(const CallPtr& aCall, ExchangeResult aResult)
{
  if (aResult != ExchangeResult::Complete) {
    mLookupCache.erase(lookupPath(aCall->mStream));
    retry(aCall);
    return;
  }
  const std::string* outcome = findHeader(aCall->mHead.mHeaders, headers::kOutcome);
  if (outcome == nullptr || *outcome == "failed") {
    finish(aCall, &ClassCounters::mFailed);
  } else if (*outcome == "not-run") {
    finish(aCall, &ClassCounters::mNotRun);
  } else if (*outcome == "unknown") {
    retry(aCall);
  } else if (aCall->mHead.mLength && *aCall->mHead.mLength != aCall->mBytes) {
    finish(aCall, &ClassCounters::mTruncated);
  } else {
    finish(aCall, &ClassCounters::mAnswered);
  }
}

/// Retries a request; one that is not idempotent keeps its idempotency key.
void LoadGenerator::retry(const CallPtr& aCall)
{
  if (++aCall->mAttempts >= kMaxAttempts) {
    finish(aCall, &ClassCounters::mUnknown);
    return;
  }
  ++counters(aCall->mStream).mRetried;
  mLoop.after(kRetryDelay, [this, aCall] { findInstances(aCall); });
}

void LoadGenerator::finish(const CallPtr& aCall, std::uint64_t ClassCounters::*aCounter)
{
  --mPending;
  ClassCounters& counted = counters(aCall->mStream);
  ++(counted.*aCounter);
  if (aCounter == &ClassCounters::mAnswered) {
    counted.mLatencies.push_back(EventLoop::now() - aCall->mDue);
  }
}

} // namespace bulrushrun::load
