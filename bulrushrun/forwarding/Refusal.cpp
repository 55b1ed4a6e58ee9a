#include "bulrushrun/forwarding/Refusal.h"

#include <algorithm>
#include <array>

namespace bulrushrun {

namespace {

/// How a reason is reported in an HTTP response.
struct ReasonRow
{
  RefusalReason mReason;
  const char* mText;
  /// HTTP status when no target executed the request.
  int mStatus;
  /// Whether the same request may succeed shortly after; adds a Retry-After header.
  bool mRetryable;
};

constexpr std::array kReasonTable{
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

const ReasonRow& reasonRow(RefusalReason aReason)
{
  const auto found = std::find_if(kReasonTable.begin(),
                                  kReasonTable.end(),
                                  [&](const ReasonRow& aRow) { return aRow.mReason == aReason; });
  return *found;
}

int httpStatus(const Refusal& aRefusal)
{
  if (aRefusal.mOutcome == Outcome::NotRun) {
    return reasonRow(aRefusal.mReason).mStatus;
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
  return reasonRow(aReason).mText;
}

RefusalReason parseRefusalReason(const std::string& aText)
{
  const auto found = std::find_if(kReasonTable.begin(),
                                  kReasonTable.end(),
                                  [&](const ReasonRow& aRow) { return aRow.mText == aText; });
  return found == kReasonTable.end() ? RefusalReason::None : found->mReason;
}

HttpResponse refusalResponse(const Refusal& aRefusal)
{
  HttpResponse response;
  response.mHead.mStatus = httpStatus(aRefusal);
  response.mHead.mHeaders = { { "Content-Type", "text/plain" },
                              { headers::kOutcome, outcomeText(aRefusal.mOutcome) },
                              { headers::kReason, refusalReasonText(aRefusal.mReason) } };
  if (reasonRow(aRefusal.mReason).mRetryable) {
    response.mHead.mHeaders.push_back({ headers::kRetryAfter, "1" });
  }
  response.mBody = std::string(outcomeText(aRefusal.mOutcome)) + ": " +
                   refusalReasonText(aRefusal.mReason) +
                   (aRefusal.mText.empty() ? "" : ": " + aRefusal.mText) + "\n";
  return response;
}

} // namespace bulrushrun
