#pragma once

#include "bulrushrun/host/Http.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Why a request got no answer from a target.
enum class RefusalReason
{
  None,
  BadRequest,
  UnknownTenant,
  UnknownService,
  UnknownClass,
  KeyMissing,
  KeyReused,
  NotReady,
  NoTarget,
  QueueTooLong,
  DeadlinePassed,
  ClaimUnavailable,
  ClaimHeld,
  RetriesSpent,
  TargetsDeclined,
  ShiftCapped,
  AnswerBroken,
};

/// \brief Value of the Bulrush-Outcome header: what is known of the request's effect.
enum class Outcome
{
  Answered,
  /// It did not run, for certain.
  NotRun,
  /// It may have run.
  Unknown,
  /// It may have run; it may be sent again.
  Failed,
};

/// \brief Refusal or failure as the caller is told.
struct Refusal
{
  Outcome mOutcome = Outcome::NotRun;
  RefusalReason mReason = RefusalReason::None;
  /// What is wrong, for a person.
  std::string mText;
};

/// \brief Headers of the interface between callers, instances and targets.
namespace headers {
inline constexpr const char* kTenant = "Bulrush-Tenant";
inline constexpr const char* kService = "Bulrush-Service";
inline constexpr const char* kClass = "Bulrush-Class";
inline constexpr const char* kDeadline = "Bulrush-Deadline-Ms";
inline constexpr const char* kKey = "Idempotency-Key";
inline constexpr const char* kOutcome = "Bulrush-Outcome";
inline constexpr const char* kReason = "Bulrush-Reason";
inline constexpr const char* kTarget = "Bulrush-Target";
inline constexpr const char* kZone = "Bulrush-Zone";
inline constexpr const char* kInstance = "Bulrush-Instance";
inline constexpr const char* kCallerZone = "Bulrush-Caller-Zone";
inline constexpr const char* kExchange = "Bulrush-Exchange";
inline constexpr const char* kRelay = "Bulrush-Relay";
inline constexpr const char* kReplayed = "Bulrush-Replayed";
inline constexpr const char* kRetryAfter = "Retry-After";
} // namespace headers

/// \brief \returns the header value of an outcome.
const char* outcomeText(Outcome aOutcome);

/// \brief \returns the header value of a reason.
const char* refusalReasonText(RefusalReason aReason);

/// \brief \returns the reason behind a header value; Reason::None for an unknown one.
RefusalReason parseRefusalReason(const std::string& aText);

/// \brief \returns the HTTP answer that tells a caller of a refusal.
HttpResponse refusalResponse(const Refusal& aRefusal);

} // namespace bulrushrun
