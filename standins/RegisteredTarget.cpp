#include "standins/RegisteredTarget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bulrushrun::standins {

namespace {

/// Maximum length of the queue, per slot.
constexpr int kMaxQueuedPerSlot = 3;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kGatewayTimeout = 504;
constexpr Duration kDefaultTimeLimit = std::chrono::seconds(10);

std::string headerText(const HttpRequest& aRequest, const char* aName)
{
  const std::string* value = findHeader(aRequest.mHeaders, aName);
  return value == nullptr ? "" : *value;
}

Duration timeLimit(const HttpRequest& aRequest)
{
  std::int64_t millis = toMillis(kDefaultTimeLimit);
  const std::string text = headerText(aRequest, "X-Request-Timeout-Ms");
  std::from_chars(text.data(), text.data() + text.size(), millis);
  return std::chrono::milliseconds(millis);
}

} // namespace

RegisteredTarget::RegisteredTarget(EventLoop& aLoop,
                                   const Endpoint& aListen,
                                   RegisteredTargetOptions aOptions,
                                   std::uint64_t aSeed,
                                   ExecutionListener aOnExecution)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRandom(aSeed)
  , mOnExecution(std::move(aOnExecution))
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
    { "born", mIncarnation },
    { "info",
      { { "service", mOptions.mService },
        { "version", "v1" },
        { "zone", mOptions.mZone },
        { "slots", mOptions.mSlots } } },
    { "status",
      { { "state", mLeaving ? "draining" : "ready" },
        { "sequence", 1 },
        { "coldRemainingMs", 0 } } }
  }.dump();
}

std::string RegisteredTarget::responseBody(const std::string& aRequestId, std::size_t aBytes)
{
  std::string body;
  while (body.size() < aBytes) {
    body += aRequestId + "/";
  }
  body.resize(aBytes);
  return body;
}

ResponseHead RegisteredTarget::makeHead(int aStatus, const HttpRequest& aRequest) const
{
  const std::string id = headerText(aRequest, "X-Request-Id");
  ResponseHead head;
  head.mStatus = aStatus;
  head.mHeaders = { { "X-Request-Id", id },
                    { "X-Response-Signature", mOptions.mId + "." + id },
                    { "Keep-Alive", "timeout=10" },
                    { "X-Server-Load",
                      std::to_string(mExecuting) + "," + std::to_string(mQueue.size()) + "," +
                        std::to_string(mOptions.mSlots) } };
  if (mLeaving) {
    head.mHeaders.push_back({ "Server-Leaving", "1" });
  }
  head.mCloseAfter = mLeaving;
  return head;
}

void RegisteredTarget::handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (mOnArrival) {
    mOnArrival(headerText(aRequest, "X-Request-Id"), *this);
  }
  if (mOnHeaders) {
    mOnHeaders(aRequest, *this);
  }
  const std::string intendedTarget = headerText(aRequest, "X-Target-Instance");
  if (!intendedTarget.empty() && intendedTarget != mOptions.mId) {
    decline(kMisdirected, aRequest, aResponder);
  } else if (static_cast<int>(mQueue.size()) >= kMaxQueuedPerSlot * mOptions.mSlots ||
             mRandom.chance(mFaults.mShedProbability)) {
    decline(kUnavailable, aRequest, aResponder);
  } else {
    mQueue.push_back({ aRequest, aResponder, EventLoop::now() + timeLimit(aRequest) });
    executeQueued();
  }
}

void RegisteredTarget::decline(int aStatus,
                               const HttpRequest& aRequest,
                               const ResponderPtr& aResponder)
{
  HttpResponse declined{ makeHead(aStatus, aRequest), "declined" };
  declined.mHead.mHeaders.push_back({ "X-Not-Executed", "1" });
  const bool asksForRest = aStatus == kUnavailable && mFaults.mRestTime > Duration{ 0 };
  if (asksForRest) {
    declined.mHead.mHeaders.push_back(
      { "Retry-After", std::to_string(toSeconds(mFaults.mRestTime)) });
  }
  respond(*aResponder, declined);
  if (asksForRest && mOnRest) {
    mOnRest(headerText(aRequest, "X-Request-Id"), *this, mFaults.mRestTime);
  }
}

void RegisteredTarget::executeQueued()
{
  while (mExecuting < mOptions.mSlots && !mQueue.empty()) {
    const QueuedRequest queued = mQueue.front();
    mQueue.erase(mQueue.begin());
    if (queued.mResponder->isDisconnected()) {
      continue;
    }
    if (EventLoop::now() >= queued.mDeadline) {
      decline(kUnavailable, queued.mRequest, queued.mResponder);
    } else {
      execute(queued);
    }
  }
}

void RegisteredTarget::execute(const QueuedRequest& aQueued)
{
  ++mExecuting;
  mOnExecution(headerText(aQueued.mRequest, "X-Request-Id"), *this);
  const Duration executionTime =
    fromSeconds(mRandom.exponential(toSeconds(mOptions.mExecutionTime))) + mFaults.mDelay;
  const Duration limit = aQueued.mDeadline - EventLoop::now();
  const bool isTooLong = executionTime > limit;
  mLoop.after(std::min(executionTime, limit), [this, aQueued, isTooLong] {
    --mExecuting;
    if (isTooLong) {
      respond(*aQueued.mResponder,
              { makeHead(kGatewayTimeout, aQueued.mRequest), "the time limit passed" });
    } else {
      finish(aQueued.mRequest, aQueued.mResponder);
    }
    executeQueued();
  });
}

void RegisteredTarget::finish(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (mRandom.chance(mFaults.mLostResponseProbability)) {
    mUnanswered.push_back(aResponder);
    return;
  }
  const bool failed = mRandom.chance(mFaults.mFailureProbability);
  ResponseHead head = makeHead(failed ? kServerError : 200, aRequest);
  const bool large = aRequest.mPath.find("/large") != std::string::npos;
  const std::string body = responseBody(headerText(aRequest, "X-Request-Id"),
                                        large ? mOptions.mLargeResponseBytes : std::size_t{ 100 });
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
