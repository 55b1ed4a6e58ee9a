#include "standins/RowStoreServer.h"

#include <charconv>
#include <utility>

namespace bulrushrun::standins {

namespace {

Duration waitOf(const std::string& aPath)
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
  Door& door = mDoors[aEndpoint];
  door.mServer = std::make_unique<HttpServer>(
    mLoop,
    aEndpoint,
    HttpHandlers{ nullptr, [this, &door](HttpRequest aRequest, const ResponderPtr& aResponder) {
                   handle(door.mFaults, std::move(aRequest), aResponder);
                 } });
}

void RowStoreServer::put(const std::string& aTable,
                         const std::string& aKey,
                         const std::string& aValue)
{
  mRows.put(aTable, aKey, aValue);
  answerWaiting();
}

void RowStoreServer::remove(const std::string& aTable, const std::string& aKey)
{
  mRows.remove(aTable, aKey);
  answerWaiting();
}

void RowStoreServer::handle(const StoreFaults& aTrouble,
                            HttpRequest aRequest,
                            const ResponderPtr& aResponder)
{
  if (aTrouble.mSilent) {
    mHeld.push_back(aResponder);
    return;
  }
  if (aTrouble.mErrorStatus) {
    respond(*aResponder, { { *aTrouble.mErrorStatus, {}, std::nullopt }, "{}" });
    return;
  }
  const std::optional<HttpResponse> response = mRows.handle(aRequest);
  if (response) {
    answer(aTrouble, *response, aResponder);
    answerWaiting();
    return;
  }
  const Duration wait = waitOf(aRequest.mPath);
  mWaiting.push_back({ std::move(aRequest), aResponder, &aTrouble, EventLoop::now() + wait });
  mLoop.after(wait, [this] { answerWaiting(); });
}

void RowStoreServer::answer(const StoreFaults& aTrouble,
                            const HttpResponse& aResponse,
                            const ResponderPtr& aResponder)
{
  if (aTrouble.mSilent || mRandom.chance(aTrouble.mLostResponseProbability)) {
    mHeld.push_back(aResponder);
    return;
  }
  mLoop.after(aTrouble.mDelay, [aResponse, aResponder] { respond(*aResponder, aResponse); });
}

void RowStoreServer::answerWaiting()
{
  const TimePoint now = EventLoop::now();
  std::list<Waiting> waiting = std::exchange(mWaiting, {});
  for (auto call = waiting.begin(); call != waiting.end();) {
    const auto next = std::next(call);
    std::optional<HttpResponse> response = mRows.handle(call->mRequest);
    if (!response && now >= call->mUntil) {
      response = mRows.emptyFeedResponse();
    }
    if (response) {
      answer(*call->mFaults, *response, call->mResponder);
    } else {
      mWaiting.splice(mWaiting.end(), waiting, call);
    }
    call = next;
  }
}

} // namespace bulrushrun::standins
