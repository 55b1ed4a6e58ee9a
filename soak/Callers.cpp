#include "soak/Callers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bulrushrun::soak {

namespace {

constexpr Duration kLookUpPeriod = std::chrono::milliseconds(700);
constexpr Duration kLookUpLimit = std::chrono::milliseconds(500);
constexpr int kObjects = 40;

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

void Callers::run(double aPerSecond)
{
  mPerSecond = aPerSecond;
  lookUp();
  next();
}

void Callers::lookUp()
{
  const CallerAddress& asked = mInstances[mRandom.below(mInstances.size())];
  const std::shared_ptr<std::string> body = std::make_shared<std::string>();
  const std::shared_ptr<ExchangeId> exchange = std::make_shared<ExchangeId>();
  ExchangeListener listener;
  listener.mOnBody = [body](std::string_view aBytes) {
    body->append(aBytes);
    return true;
  };
  listener.mOnEnd = [this, body](ExchangeResult aEnd, const std::string&) {
    const nlohmann::json answer = nlohmann::json::parse(*body, nullptr, false);
    if (aEnd != ExchangeResult::Complete || !answer.is_object() || !answer.contains("addresses")) {
      return;
    }
    mUsable.clear();
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      const nlohmann::json& named = answer["addresses"];
      if (std::find(named.begin(), named.end(), mInstances[i].mListen.text()) != named.end()) {
        mUsable.push_back(i);
      }
    }
  };
  const std::string zone(1, static_cast<char>('a' + mRandom.below(3)));
  *exchange = mClient.start(asked.mLookup,
                            { "GET", "/-/resolve?name=shop&region=r&zone=z" + zone, {}, {} },
                            ConnectionUse::Pooled,
                            std::move(listener));
  mLoop.after(kLookUpLimit, [this, exchange] { mClient.abort(*exchange); });
  if (!mStopped) {
    mLoop.after(kLookUpPeriod, [this] { lookUp(); });
  }
}

void Callers::next()
{
  if (mStopped) {
    return;
  }
  mLoop.after(fromSeconds(mRandom.exponential(1 / mPerSecond)), [this] { next(); });
  if (mUsable.empty()) {
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
  request.mHeaders = { { "X-Affinity-Key", std::to_string(mRandom.below(kObjects)) } };
  send(mUsable[mRandom.below(mUsable.size())], std::move(attempt), std::move(request));
}

void Callers::probe(std::size_t aInstance)
{
  Attempt attempt;
  attempt.mProbe = true;
  send(aInstance, std::move(attempt), { "GET", "/probe/x", {}, {} });
}

void Callers::send(std::size_t aInstance, Attempt aAttempt, HttpRequest aRequest)
{
  constexpr double kLeaving = 0.05;
  const std::string id = mRandom.token();
  aAttempt.mInstance = aInstance;
  aAttempt.mSent = EventLoop::now();
  aRequest.mAuthority = "shop";
  aRequest.mHeaders.push_back({ "X-Request-Id", id });
  aRequest.mHeaders.push_back({ "X-Request-Timeout-Ms", std::to_string(toMillis(kCallerTimeout)) });
  const bool leaves = !aAttempt.mProbe && mRandom.chance(kLeaving);
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
  const Duration patience = leaves ? fromSeconds(mRandom.exponential(0.02)) : kCallerTimeout;
  mLoop.after(patience, [this, id] { abandon(id); });
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
