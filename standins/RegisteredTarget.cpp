#include "standins/RegisteredTarget.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bulrushrun::standins {

namespace {

/// Requests that wait, in slots.
constexpr int kQueueFactor = 3;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;

std::string headerOf(const HttpRequest& aRequest, const char* aName)
{
  const std::string* value = findHeader(aRequest.mHeaders, aName);
  return value == nullptr ? "" : *value;
}

} // namespace

RegisteredTarget::RegisteredTarget(EventLoop& aLoop,
                                   const Endpoint& aListen,
                                   RegisteredTargetOptions aSetup,
                                   std::uint64_t aSeed,
                                   ExecutionListener aOnRun)
  : mLoop(aLoop)
  , mSetup(std::move(aSetup))
  , mRandom(aSeed)
  , mOnRun(std::move(aOnRun))
  , mServer(aLoop,
            aListen,
            { nullptr, [this](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
               handle(aRequest, aResponder);
             } })
{
}

std::string RegisteredTarget::registration(const Endpoint& aAddress) const
{
  return nlohmann::json{
    { "address", aAddress.text() },
    { "born", mLife },
    { "info",
      { { "service", mSetup.mService },
        { "version", "v1" },
        { "zone", mSetup.mZone },
        { "slots", mSetup.mSlots } } },
    { "status",
      { { "state", mLeaving ? "draining" : "ready" },
        { "sequence", 1 },
        { "coldRemainingMs", 0 } } }
  }.dump();
}

std::string RegisteredTarget::bodyFor(const std::string& aRequestId, std::size_t aBytes)
{
  std::string body;
  while (body.size() < aBytes) {
    body += aRequestId + "/";
  }
  body.resize(aBytes);
  return body;
}

ResponseHead RegisteredTarget::headFor(int aStatus, const HttpRequest& aRequest) const
{
  const std::string id = headerOf(aRequest, "X-Request-Id");
  ResponseHead head;
  head.mStatus = aStatus;
  head.mHeaders = { { "X-Request-Id", id },
                    { "X-Response-Signature", mSetup.mId + "." + id },
                    { "Keep-Alive", "timeout=10" },
                    { "X-Server-Load",
                      std::to_string(mRunning) + "," + std::to_string(mQueue.size()) + "," +
                        std::to_string(mSetup.mSlots) } };
  head.mCloseAfter = mLeaving;
  return head;
}

void RegisteredTarget::handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  const std::string meant = headerOf(aRequest, "X-Target-Instance");
  if (!meant.empty() && meant != mSetup.mId) {
    decline(kMisdirected, aRequest, aResponder);
  } else if (static_cast<int>(mQueue.size()) >= kQueueFactor * mSetup.mSlots ||
             mRandom.chance(mFaults.mShedProbability)) {
    decline(kUnavailable, aRequest, aResponder);
  } else {
    mQueue.emplace_back(aRequest, aResponder);
    runNext();
  }
}

void RegisteredTarget::decline(int aStatus,
                               const HttpRequest& aRequest,
                               const ResponderPtr& aResponder)
{
  HttpResponse declined{ headFor(aStatus, aRequest), "declined" };
  declined.mHead.mHeaders.push_back({ "X-Not-Executed", "1" });
  respond(*aResponder, declined);
}

void RegisteredTarget::runNext()
{
  while (mRunning < mSetup.mSlots && !mQueue.empty()) {
    const auto [request, responder] = mQueue.front();
    mQueue.erase(mQueue.begin());
    if (!responder->isDisconnected()) {
      run(request, responder);
    }
  }
}

void RegisteredTarget::run(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  ++mRunning;
  mOnRun(headerOf(aRequest, "X-Request-Id"), *this);
  const Duration span = fromSeconds(mRandom.exponential(toSeconds(mSetup.mExecutionTime)));
  mLoop.after(span + mFaults.mDelay, [this, aRequest, aResponder] {
    --mRunning;
    finish(aRequest, aResponder);
    runNext();
  });
}

void RegisteredTarget::finish(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (mRandom.chance(mFaults.mLostResponseProbability)) {
    mHeld.push_back(aResponder);
    return;
  }
  const bool failed = mRandom.chance(mFaults.mFailureProbability);
  ResponseHead head = headFor(failed ? kServerError : 200, aRequest);
  const bool large = aRequest.mPath.find("/large") != std::string::npos;
  const std::string body =
    bodyFor(headerOf(aRequest, "X-Request-Id"), large ? mSetup.mLargeBytes : std::size_t{ 100 });
  head.mLength = body.size();
  aResponder->start(head);
  if (mRandom.chance(mFaults.mTruncationProbability)) {
    aResponder->write(body.substr(0, body.size() / 2));
    aResponder->abort();
    return;
  }
  aResponder->write(body);
  aResponder->finish();
}

} // namespace bulrushrun::standins
