#include "standins/TargetStandIn.h"

#include "bulrushrun/administration/AdminResponses.h"
#include "bulrushrun/forwarding/Refusal.h"

#include <cstdlib>

namespace bulrushrun::standins {

namespace {

constexpr std::size_t kStreamPiece = std::size_t{ 16 } * 1024;

} // namespace

TargetStandIn::TargetStandIn(EventLoop& aLoop,
                             const Endpoint& aEndpoint,
                             const TargetStandInOptions& aBehaviour,
                             ExecutionCounts& aRecord)
  : mLoop(aLoop)
  , mBehaviour(aBehaviour)
  , mRecord(aRecord)
  , mRandom((std::uint64_t{ aEndpoint.mAddress } << 16U) | aEndpoint.mPort)
  , mServer(aLoop,
            aEndpoint,
            { nullptr, [this](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
               handle(aRequest, aResponder);
             } })
{
}

void TargetStandIn::handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (aRequest.mPath == "/health") {
    respond(*aResponder,
            jsonResponse(200, mLeaving ? R"({"state":"leaving"})" : R"({"state":"ready"})"));
  } else if (aRequest.mPath == "/control") {
    respond(*aResponder, control(aRequest.mBody));
  } else {
    run(aRequest, aResponder);
  }
}

void TargetStandIn::run(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (mBusy >= mBehaviour.mSlots) {
    HttpResponse declined = textResponse(503, "no free slot");
    declined.mHead.mHeaders.push_back({ headers::kOutcome, "not-run" });
    const std::string* exchange = findHeader(aRequest.mHeaders, headers::kExchange);
    declined.mHead.mHeaders.push_back({ headers::kExchange, exchange ? *exchange : "" });
    respond(*aResponder, declined);
    return;
  }
  ++mRuns;
  if (const std::string* key = findHeader(aRequest.mHeaders, headers::kKey)) {
    ++mRecord[*key];
  }
  if (mSilent) {
    mHeld.push_back(aResponder);
    return;
  }
  ++mBusy;
  const double mean = toSeconds(mBehaviour.mResponseTime);
  mLoop.after(fromSeconds(mRandom.exponential(mean)), [this, aRequest, aResponder] {
    --mBusy;
    finish(aRequest, aResponder);
  });
}

void TargetStandIn::finish(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  const std::string* exchange = findHeader(aRequest.mHeaders, headers::kExchange);
  const std::string* wanted = findHeader(aRequest.mHeaders, "Stand-In-Bytes");
  const std::size_t bytes =
    wanted == nullptr ? mBehaviour.mResponseBytes : std::strtoull(wanted->c_str(), nullptr, 10);
  ResponseHead head;
  head.mHeaders = { { "Content-Type", "application/octet-stream" },
                    { headers::kExchange, mCrossed ? "crossed" : (exchange ? *exchange : "") } };
  if (findHeader(aRequest.mHeaders, "Stand-In-Chunked") == nullptr) {
    head.mLength = bytes;
  }
  aResponder->start(head);
  stream(aResponder, bytes);
}

/// Writes the body in pieces as the reader takes them.
void TargetStandIn::stream(const ResponderPtr& aResponder, std::size_t aLeft)
{
  const std::size_t n = std::min(aLeft, kStreamPiece);
  const std::size_t left = aLeft - n;
  if (mCut && left <= aLeft / 2) {
    aResponder->abort();
    return;
  }
  if (left > 0) {
    aResponder->mOnWritable = [this, aResponder, left] { stream(aResponder, left); };
    aResponder->mOnDisconnect = [aResponder] { aResponder->mOnWritable = nullptr; };
  }
  aResponder->write(std::string(n, 'x'));
  if (left == 0) {
    aResponder->mOnWritable = nullptr;
    aResponder->finish();
  }
}

HttpResponse TargetStandIn::control(const std::string& aBody)
{
  const std::string query = "?" + aBody;
  const auto set = [&](const char* aName, bool& aFlag) {
    if (const std::optional<std::uint64_t> value = queryNumber(query, aName)) {
      aFlag = *value != 0;
    }
  };
  set("leaving", mLeaving);
  set("silent", mSilent);
  set("crossed", mCrossed);
  set("cut", mCut);
  std::uint64_t doubled = 0;
  for (const auto& [key, runs] : mRecord) {
    doubled += runs > 1 ? 1U : 0U;
  }
  return textResponse(200,
                      "runs=" + std::to_string(mRuns) + "&keys=" + std::to_string(mRecord.size()) +
                        "&doubled=" + std::to_string(doubled));
}

} // namespace bulrushrun::standins
