#include "bulrushrun/forwarding/Refusal.h"

#include <algorithm>
#include <array>

namespace bulrushrun {

namespace {

/// How a reason shows in an answer.
struct ReasonRow
{
  RefusalReason mReason;
  const char* mText;
  /// Status when the request did not run.
  int mStatus;
  /// Whether the same request may succeed a moment later.
  bool mRetry;
};

constexpr std::array kReasons{
  ReasonRow{ RefusalReason::None, "none", 500, false },
  ReasonRow{ RefusalReason::BadRequest, "bad-request", 400, false },
  ReasonRow{ RefusalReason::UnknownTenant, "unknown-tenant", 404, false },
  ReasonRow{ RefusalReason::UnknownService, "unknown-service", 404, false },
  ReasonRow{ RefusalReason::UnknownClass, "unknown-class", 404, false },
  ReasonRow{ RefusalReason::KeyMissing, "idempotency-key-missing", 400, false },
  ReasonRow{ RefusalReason::KeyReused, "idempotency-key-reused", 422, false },
  ReasonRow{ RefusalReason::NotReady, "not-ready", 503, true },
  ReasonRow{ RefusalReason::NoTarget, "no-target", 503, true },
  ReasonRow{ RefusalReason::QueueTooLong, "queue-too-long", 503, true },
  ReasonRow{ RefusalReason::DeadlinePassed, "deadline-passed", 504, true },
  ReasonRow{ RefusalReason::ClaimUnavailable, "claim-unavailable", 503, true },
  ReasonRow{ RefusalReason::ClaimHeld, "claim-held", 409, true },
  ReasonRow{ RefusalReason::RetriesSpent, "retries-spent", 503, true },
  ReasonRow{ RefusalReason::TargetsDeclined, "targets-declined", 503, true },
  ReasonRow{ RefusalReason::ShiftCapped, "shift-capped", 503, true },
  ReasonRow{ RefusalReason::AnswerBroken, "answer-broken", 502, true },
};

const ReasonRow& rowOf(RefusalReason aReason)
{
  const auto found = std::find_if(kReasons.begin(), kReasons.end(), [&](const ReasonRow& aRow) {
    return aRow.mReason == aReason;
  });
  return *found;
}

int statusOf(const Refusal& aRefusal)
{
  if (aRefusal.mOutcome == Outcome::NotRun) {
    return rowOf(aRefusal.mReason).mStatus;
  }
  if (aRefusal.mReason == RefusalReason::ClaimHeld) {
    return 409;
  }
  return aRefusal.mReason == RefusalReason::DeadlinePassed ? 504 : 502;
}

} // namespace

const char* outcomeText(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
    case Outcome::Failed:
      break;
  }
  return "failed";
}

const char* refusalReasonText(RefusalReason aReason)
{
  return rowOf(aReason).mText;
}

RefusalReason parseRefusalReason(const std::string& aText)
{
  const auto found = std::find_if(
    kReasons.begin(), kReasons.end(), [&](const ReasonRow& aRow) { return aRow.mText == aText; });
  return found == kReasons.end() ? RefusalReason::None : found->mReason;
}

HttpResponse refusalResponse(const Refusal& aRefusal)
{
  HttpResponse response;
  response.mHead.mStatus = statusOf(aRefusal);
  response.mHead.mHeaders = { { "Content-Type", "text/plain" },
                              { headers::kOutcome, outcomeText(aRefusal.mOutcome) },
                              { headers::kReason, refusalReasonText(aRefusal.mReason) } };
  if (rowOf(aRefusal.mReason).mRetry) {
    response.mHead.mHeaders.push_back({ headers::kRetryAfter, "1" });
  }
  response.mBody = std::string(outcomeText(aRefusal.mOutcome)) + ": " +
                   refusalReasonText(aRefusal.mReason) +
                   (aRefusal.mText.empty() ? "" : ": " + aRefusal.mText) + "\n";
  return response;
}

} // namespace bulrushrun
