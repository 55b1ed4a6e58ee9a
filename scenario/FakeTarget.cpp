#include "scenario/FakeTarget.h"

#include "bulrushrun/forwarding/Refusal.h"

namespace bulrushrun::scenario {

namespace {

std::string headerOr(const HttpRequest& aRequest, const char* aName)
{
  const std::string* value = findHeader(aRequest.mHeaders, aName);
  return value == nullptr ? std::string{} : *value;
}

} // namespace

void FakeTarget::receive(const ZoneName& aFrom,
                         const HttpRequest& aRequest,
                         const ResponseSink& aResponseSink)
{
  if (mMode == TargetMode::Down) {
    aResponseSink(ExchangeEnded{ ExchangeResult::NotSent, "connection refused" });
    return;
  }
  if (aRequest.mPath == "/health") {
    respondToHealthCheck(aResponseSink);
    return;
  }
  // The 2 s start when instances can detect that the target is leaving. The instance list can't be
  // read in a partitioned zone, and the health check reports nothing while it is unresponsive.
  const TimePoint reconnectedAt = std::max(mNetwork.lastCut(mSpec.mZone), mNetwork.lastCut(aFrom));
  const TimePoint responsiveSince =
    mMode == TargetMode::Unresponsive ? mNetwork.now() : mUnresponsiveUntil;
  const TimePoint detectableSince =
    std::max(mLeavingSince, mLeavesByListOnly ? reconnectedAt : responsiveSince);
  if (mLeaving && mNetwork.now() > detectableSince + kLeavingGrace) {
    mChecker.onRequestToLeavingTarget();
    mOnLateRequest();
  }
  if (mInProgress >= mSpec.mSlots) {
    mChecker.onShed();
    respondNotRun(aRequest, aResponseSink);
    return;
  }
  mChecker.onExecution(headerOr(aRequest, kAttemptHeader), headerOr(aRequest, headers::kKey));
  ++mInProgress;
  const ZoneName caller{ headerOr(aRequest, headers::kCallerZone) };
  const bool shifted = mNetwork.isOtherRegion(caller, mSpec.mZone);
  if (shifted) {
    mChecker.onShiftedRequestStarted(mShiftCap.mName, mShiftCap.mCap);
  }
  const double slowdown = mMode == TargetMode::Slow ? 10 : 1;
  const Duration executionTime =
    fromSeconds(mNetwork.random().exponential(toSeconds(mResponseTime)) * slowdown);
  mNetwork.after(executionTime, [this, aRequest, aResponseSink, shifted] {
    --mInProgress;
    if (shifted) {
      mChecker.onShiftedRequestFinished(mShiftCap.mName);
    }
    if (mMode != TargetMode::Unresponsive && mMode != TargetMode::Down) {
      respond(aRequest, aResponseSink);
    } else if (mMode == TargetMode::Down) {
      aResponseSink(ExchangeEnded{ ExchangeResult::Interrupted, "target crashed" });
    }
  });
}

void FakeTarget::respondToHealthCheck(const ResponseSink& aResponseSink) const
{
  if (mMode == TargetMode::Unresponsive) {
    return;
  }
  const bool reportsLeaving = mLeaving && !mLeavesByListOnly;
  const std::string body = reportsLeaving ? R"({"state":"leaving"})" : R"({"state":"ready"})";
  aResponseSink(HeadReceived{ { 200, {}, body.size() } });
  aResponseSink(BodyReceived{ body });
  aResponseSink(ExchangeEnded{});
}

void FakeTarget::respondNotRun(const HttpRequest& aRequest, const ResponseSink& aResponseSink) const
{
  ResponseHead head{ 503, { { headers::kOutcome, "not-run" } }, 0 };
  head.mHeaders.push_back({ headers::kExchange, headerOr(aRequest, headers::kExchange) });
  aResponseSink(HeadReceived{ head });
  aResponseSink(ExchangeEnded{});
}

void FakeTarget::respond(const HttpRequest& aRequest, const ResponseSink& aResponseSink) const
{
  const std::string body = InvariantChecker::expectedBody(headerOr(aRequest, kBodySeedHeader));
  const bool mismatched = mMode == TargetMode::MismatchedExchange;
  ResponseHead head{ 200, {}, body.size() };
  head.mHeaders.push_back(
    { headers::kExchange, mismatched ? "another" : headerOr(aRequest, headers::kExchange) });
  aResponseSink(HeadReceived{ head });
  const std::string sent = mismatched ? InvariantChecker::expectedBody("another") : body;
  aResponseSink(BodyReceived{ sent.substr(0, sent.size() / 2) });
  if (mMode == TargetMode::Truncated) {
    aResponseSink(ExchangeEnded{ ExchangeResult::Interrupted, "connection closed by the target" });
    return;
  }
  aResponseSink(BodyReceived{ sent.substr(sent.size() / 2) });
  aResponseSink(ExchangeEnded{});
}

} // namespace bulrushrun::scenario
