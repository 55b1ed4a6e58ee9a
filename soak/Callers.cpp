#include "soak/Callers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bulrushrun::soak {

namespace {

constexpr Duration kLookupInterval = std::chrono::milliseconds(700);
constexpr Duration kLookupTimeout = std::chrono::milliseconds(500);
constexpr int kAffinityKeys = 40;
constexpr double kSlowProbability = 0.05;

} // namespace

Callers::Callers(EventLoop& aLoop,
                 InvariantChecker& aChecker,
                 std::vector<CallerAddress> aInstances,
                 Random aRandom)
  : mLoop(aLoop)
  , mChecker(aChecker)
  , mInstances(std::move(aInstances))
  , mRandom(aRandom)
  , mClient(aLoop)
{
}

void Callers::run(double aRequestRate)
{
  mRequestRate = aRequestRate;
  lookUp();
  scheduleNext();
}

void Callers::lookUp()
{
  const CallerAddress& instance = mInstances[mRandom.below(mInstances.size())];
  const std::shared_ptr<std::string> body = std::make_shared<std::string>();
  const std::shared_ptr<ExchangeId> exchange = std::make_shared<ExchangeId>();
  ExchangeListener listener;
  listener.mOnBody = [body](std::string_view aBytes) {
    body->append(aBytes);
    return true;
  };
  listener.mOnEnd = [this, body](ExchangeResult aEnd, const std::string&) {
    const nlohmann::json response = nlohmann::json::parse(*body, nullptr, false);
    if (aEnd != ExchangeResult::Complete || !response.is_object() ||
        !response.contains("addresses")) {
      return;
    }
    mUsableInstances.clear();
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      const nlohmann::json& addresses = response["addresses"];
      if (std::find(addresses.begin(), addresses.end(), mInstances[i].mListen.text()) !=
          addresses.end()) {
        mUsableInstances.push_back(i);
      }
    }
  };
  const std::string zone(1, static_cast<char>('a' + mRandom.below(3)));
  *exchange = mClient.start(instance.mLookup,
                            { "GET", "/-/resolve?name=shop&region=r&zone=z" + zone, {}, {} },
                            ConnectionUse::Pooled,
                            std::move(listener));
  mLoop.after(kLookupTimeout, [this, exchange] { mClient.abort(*exchange); });
  if (!mStopped) {
    mLoop.after(kLookupInterval, [this] { lookUp(); });
  }
}

void Callers::scheduleNext()
{
  if (mStopped) {
    return;
  }
  mLoop.after(fromSeconds(mRandom.exponential(1 / mRequestRate)), [this] { scheduleNext(); });
  if (mUsableInstances.empty()) {
    return;
  }
  if (mRandom.chance(kSlowProbability)) {
    sendSlow(mUsableInstances[mRandom.below(mUsableInstances.size())]);
    return;
  }
  Attempt attempt;
  HttpRequest request;
  const double kind = mRandom.unit();
  attempt.mIdempotent = kind < 0.6;
  attempt.mLarge = kind < 0.1;
  request.mMethod = attempt.mIdempotent ? "GET" : "POST";
  request.mPath = attempt.mIdempotent ? (attempt.mLarge ? "/files/large" : "/read/x") : "/order/x";
  request.mBody = attempt.mIdempotent ? "" : "an order";
  request.mHeaders = { { "X-Affinity-Key", std::to_string(mRandom.below(kAffinityKeys)) } };
  send(mUsableInstances[mRandom.below(mUsableInstances.size())],
       std::move(attempt),
       std::move(request));
}

void Callers::sendSlow(std::size_t aInstance)
{
  Attempt attempt;
  attempt.mIdempotent = false;
  attempt.mTimeLimit = kSlowTimeout;
  send(aInstance, std::move(attempt), { "POST", "/slow/x", {}, "an order" });
}

void Callers::probe(std::size_t aInstance)
{
  Attempt attempt;
  attempt.mProbe = true;
  send(aInstance, std::move(attempt), { "GET", "/probe/x", {}, {} });
}

void Callers::send(std::size_t aInstance, Attempt aAttempt, HttpRequest aRequest)
{
  constexpr double kDisconnectProbability = 0.05;
  const std::string id = mRandom.token();
  aAttempt.mInstance = aInstance;
  aAttempt.mSent = EventLoop::now();
  const Duration callerTimeout = std::max(aAttempt.mTimeLimit, kCallerTimeout);
  aAttempt.mTimeLimit = std::max(aAttempt.mTimeLimit, kRouteTimeout);
  aRequest.mAuthority = "shop";
  aRequest.mHeaders.push_back({ "X-Request-Id", id });
  aRequest.mHeaders.push_back({ "X-Request-Timeout-Ms", std::to_string(toMillis(callerTimeout)) });
  aAttempt.mKey =
    aAttempt.mProbe ? CallerKey::permanent() : CallerKey::choose(id, mChecker.newestVersion());
  if (!aAttempt.mKey.mText.empty()) {
    aRequest.mHeaders.push_back({ "Authorization", "Bearer " + aAttempt.mKey.mText });
  }
  // The instance must not believe what a caller says about its customer.
  aRequest.mHeaders.push_back({ "x-tenant-ID", "c1" });
  const bool disconnectsEarly = !aAttempt.mProbe && mRandom.chance(kDisconnectProbability);
  mChecker.onSent(id, std::move(aAttempt));
  ExchangeListener listener;
  listener.mOnHead = [this, id](const ResponseHead& aHead) { mChecker.find(id)->mHead = aHead; };
  listener.mOnBody = [this, id](std::string_view aBytes) {
    mChecker.find(id)->mBody.append(aBytes);
    return true;
  };
  listener.mOnEnd = [this, id](ExchangeResult aEnd, const std::string&) {
    mExchanges.erase(id);
    mChecker.find(id)->mEnd = aEnd;
    mChecker.onEnded(id, EventLoop::now());
  };
  mExchanges[id] = mClient.start(
    mInstances[aInstance].mProxy, aRequest, ConnectionUse::Pooled, std::move(listener));
  const Duration timeout =
    disconnectsEarly ? fromSeconds(mRandom.exponential(0.02)) : callerTimeout;
  mLoop.after(timeout, [this, id] { abandon(id); });
}

void Callers::abandon(const std::string& aId)
{
  const auto exchange = mExchanges.find(aId);
  if (exchange == mExchanges.end()) {
    return;
  }
  mClient.abort(exchange->second);
  mExchanges.erase(exchange);
  mChecker.find(aId)->mAbandoned = true;
}

} // namespace bulrushrun::soak
