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
                         const ReplySink& aReply)
{
  if (mMode == TargetMode::Dead) {
    aReply(EndArrives{ ExchangeResult::NotSent, "refused" });
    return;
  }
  if (aRequest.mPath == "/health") {
    answerHealth(aReply);
    return;
  }
  // What only the list says can't be known in a zone that is cut off, nor what only the page says
  // while the page gives no answer; the time counts from when it can be known.
  const TimePoint joined = std::max(mNetwork.lastCut(mSpec.mZone), mNetwork.lastCut(aFrom));
  const TimePoint answering = mMode == TargetMode::Silent ? mNetwork.now() : mSilentUntil;
  const TimePoint knowable = std::max(mLeavingSince, mHidesLeaving ? joined : answering);
  if (mLeaving && mNetwork.now() > knowable + kLeavingGrace) {
    mJudge.onWorkForLeaving();
    mOnLateWork();
  }
  if (mBusy >= mSpec.mSlots) {
    mJudge.onShed();
    decline(aRequest, aReply);
    return;
  }
  mJudge.onRun(headerOr(aRequest, kCallHeader), headerOr(aRequest, headers::kKey));
  ++mBusy;
  const ZoneName caller{ headerOr(aRequest, headers::kCallerZone) };
  const bool shifted = mNetwork.isOtherRegion(caller, mSpec.mZone);
  if (shifted) {
    mJudge.onShiftBegins(mBound.mName, mBound.mCap);
  }
  const double slow = mMode == TargetMode::Slow ? 10 : 1;
  const Duration span = fromSeconds(mNetwork.random().exponential(toSeconds(mAnswerTime)) * slow);
  mNetwork.after(span, [this, aRequest, aReply, shifted] {
    --mBusy;
    if (shifted) {
      mJudge.onShiftEnds(mBound.mName);
    }
    if (mMode != TargetMode::Silent && mMode != TargetMode::Dead) {
      answer(aRequest, aReply);
    } else if (mMode == TargetMode::Dead) {
      aReply(EndArrives{ ExchangeResult::Interrupted, "the target died" });
    }
  });
}

void FakeTarget::answerHealth(const ReplySink& aReply) const
{
  if (mMode == TargetMode::Silent) {
    return;
  }
  const bool says = mLeaving && !mHidesLeaving;
  const std::string body = says ? R"({"state":"leaving"})" : R"({"state":"ready"})";
  aReply(HeadArrives{ { 200, {}, body.size() } });
  aReply(BodyArrives{ body });
  aReply(EndArrives{});
}

void FakeTarget::decline(const HttpRequest& aRequest, const ReplySink& aReply) const
{
  ResponseHead head{ 503, { { headers::kOutcome, "not-run" } }, 0 };
  head.mHeaders.push_back({ headers::kExchange, headerOr(aRequest, headers::kExchange) });
  aReply(HeadArrives{ head });
  aReply(EndArrives{});
}

void FakeTarget::answer(const HttpRequest& aRequest, const ReplySink& aReply) const
{
  const std::string body = Judge::bodyFor(headerOr(aRequest, kBodyHeader));
  const bool crossed = mMode == TargetMode::Crossed;
  ResponseHead head{ 200, {}, body.size() };
  head.mHeaders.push_back(
    { headers::kExchange, crossed ? "another" : headerOr(aRequest, headers::kExchange) });
  aReply(HeadArrives{ head });
  const std::string sent = crossed ? Judge::bodyFor("another") : body;
  aReply(BodyArrives{ sent.substr(0, sent.size() / 2) });
  if (mMode == TargetMode::Cut) {
    aReply(EndArrives{ ExchangeResult::Interrupted, "cut" });
    return;
  }
  aReply(BodyArrives{ sent.substr(sent.size() / 2) });
  aReply(EndArrives{});
}

} // namespace bulrushrun::scenario
