#include "standins/RowStoreServer.h"

#include <charconv>
#include <utility>

namespace bulrushrun::standins {

namespace {

Duration parseWait(const std::string& aPath)
{
  constexpr std::string_view kName = "waitMs=";
  const std::size_t at = aPath.find(kName);
  std::int64_t millis = 0;
  if (at != std::string::npos) {
    const char* first = aPath.data() + at + kName.size();
    std::from_chars(first, aPath.data() + aPath.size(), millis);
  }
  return std::chrono::milliseconds(millis);
}

} // namespace

void RowStoreServer::open(const Endpoint& aEndpoint)
{
  Listener& listener = mListeners[aEndpoint];
  listener.mServer = std::make_unique<HttpServer>(
    mLoop,
    aEndpoint,
    HttpHandlers{ nullptr, [this, &listener](HttpRequest aRequest, const ResponderPtr& aResponder) {
                   handle(listener.mFaults, std::move(aRequest), aResponder);
                 } });
}

void RowStoreServer::put(const std::string& aTable,
                         const std::string& aKey,
                         const std::string& aValue)
{
  mStore.setNow(EventLoop::now().time_since_epoch());
  mStore.put(aTable, aKey, aValue);
  answerPendingFeeds();
}

void RowStoreServer::remove(const std::string& aTable, const std::string& aKey)
{
  mStore.setNow(EventLoop::now().time_since_epoch());
  mStore.remove(aTable, aKey);
  answerPendingFeeds();
}

void RowStoreServer::restore(Duration aAge)
{
  mStore.setNow(EventLoop::now().time_since_epoch());
  mStore.restore(aAge);
  answerPendingFeeds();
}

void RowStoreServer::handle(const StoreFaults& aFaults,
                            HttpRequest aRequest,
                            const ResponderPtr& aResponder)
{
  if (aFaults.mSilent) {
    mUnanswered.push_back(aResponder);
    return;
  }
  if (aFaults.mErrorStatus) {
    respond(*aResponder, { { *aFaults.mErrorStatus, {}, std::nullopt }, "{}" });
    return;
  }
  mStore.setNow(EventLoop::now().time_since_epoch());
  const std::optional<HttpResponse> response = mStore.handle(aRequest);
  if (response) {
    sendResponse(aFaults, *response, aResponder);
    answerPendingFeeds();
    return;
  }
  const Duration wait = parseWait(aRequest.mPath);
  mPendingFeeds.push_back({ std::move(aRequest), aResponder, &aFaults, EventLoop::now() + wait });
  mLoop.after(wait, [this] { answerPendingFeeds(); });
}

void RowStoreServer::sendResponse(const StoreFaults& aFaults,
                                  const HttpResponse& aResponse,
                                  const ResponderPtr& aResponder)
{
  if (aFaults.mSilent || mRandom.chance(aFaults.mLostResponseProbability)) {
    mUnanswered.push_back(aResponder);
    return;
  }
  mLoop.after(aFaults.mDelay, [aResponse, aResponder] { respond(*aResponder, aResponse); });
}

void RowStoreServer::answerPendingFeeds()
{
  const TimePoint now = EventLoop::now();
  mStore.setNow(now.time_since_epoch());
  std::list<PendingFeed> pending = std::exchange(mPendingFeeds, {});
  for (auto feed = pending.begin(); feed != pending.end();) {
    const auto next = std::next(feed);
    std::optional<HttpResponse> response = mStore.handle(feed->mRequest);
    if (!response && now >= feed->mDeadline) {
      response = mStore.emptyFeedResponse();
    }
    if (response) {
      sendResponse(*feed->mFaults, *response, feed->mResponder);
    } else {
      mPendingFeeds.splice(mPendingFeeds.end(), pending, feed);
    }
    feed = next;
  }
}

} // namespace bulrushrun::standins
