#include "standins/TargetStandIn.h"

#include "bulrushrun/administration/AdminResponses.h"
#include "bulrushrun/forwarding/Refusal.h"

#include <cstdlib>

namespace bulrushrun::standins {

namespace {

constexpr std::size_t kChunkBytes = std::size_t{ 16 } * 1024;

} // namespace

TargetStandIn::TargetStandIn(EventLoop& aLoop,
                             const Endpoint& aEndpoint,
                             const TargetStandInOptions& aOptions,
                             ExecutionCounts& aExecutionCounts)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mExecutionCounts(aExecutionCounts)
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
    respond(*aResponder, control(aRequest.mBody.text()));
  } else {
    execute(aRequest, aResponder);
  }
}

void TargetStandIn::execute(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (mBusySlots >= mOptions.mSlots) {
    HttpResponse declined = textResponse(503, "no free slot");
    declined.mHead.mHeaders.push_back({ headers::kOutcome, "not-run" });
    const std::string* exchange = findHeader(aRequest.mHeaders, headers::kExchange);
    declined.mHead.mHeaders.push_back({ headers::kExchange, exchange ? *exchange : "" });
    respond(*aResponder, declined);
    return;
  }
  ++mExecutions;
  if (const std::string* key = findHeader(aRequest.mHeaders, headers::kKey)) {
    ++mExecutionCounts[*key];
  }
  if (mSilent) {
    mUnanswered.push_back(aResponder);
    return;
  }
  ++mBusySlots;
  const double mean = toSeconds(mOptions.mResponseTime);
  mLoop.after(fromSeconds(mRandom.exponential(mean)), [this, aRequest, aResponder] {
    --mBusySlots;
    finish(aRequest, aResponder);
  });
}

void TargetStandIn::finish(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  const std::string* exchange = findHeader(aRequest.mHeaders, headers::kExchange);
  const std::string* requestedBytes = findHeader(aRequest.mHeaders, "Stand-In-Bytes");
  const std::size_t bytes = requestedBytes == nullptr
                              ? mOptions.mResponseBytes
                              : std::strtoull(requestedBytes->c_str(), nullptr, 10);
  ResponseHead head;
  head.mHeaders = { { "Content-Type", "application/octet-stream" },
                    { headers::kExchange,
                      mMismatchResponses ? "crossed" : (exchange ? *exchange : "") } };
  if (findHeader(aRequest.mHeaders, "Stand-In-Chunked") == nullptr) {
    head.mLength = bytes;
  }
  aResponder->start(head);
  streamBody(aResponder, bytes);
}

/// Writes the body in chunks, each one when the reader has received the one before.
void TargetStandIn::streamBody(const ResponderPtr& aResponder, std::size_t aLeft)
{
  const std::size_t chunk = std::min(aLeft, kChunkBytes);
  const std::size_t left = aLeft - chunk;
  if (mTruncateResponses && left <= aLeft / 2) {
    aResponder->abort();
    return;
  }
  if (left > 0) {
    aResponder->mOnWritable = [this, aResponder, left] { streamBody(aResponder, left); };
    aResponder->mOnDisconnect = [aResponder] { aResponder->mOnWritable = nullptr; };
  }
  aResponder->write(std::string(chunk, 'x'));
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
  set("crossed", mMismatchResponses);
  set("cut", mTruncateResponses);
  std::uint64_t executedTwice = 0;
  for (const auto& [key, executions] : mExecutionCounts) {
    executedTwice += executions > 1 ? 1U : 0U;
  }
  return textResponse(200,
                      "runs=" + std::to_string(mExecutions) +
                        "&keys=" + std::to_string(mExecutionCounts.size()) +
                        "&doubled=" + std::to_string(executedTwice));
}

} // namespace bulrushrun::standins
