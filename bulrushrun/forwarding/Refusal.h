#pragma once

#include "bulrushrun/host/Http.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Why a request was refused, or failed without a usable response from a target.
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

/// \brief Value of the Bulrush-Outcome header: whether a target executed the request.
enum class Outcome
{
  Answered,
  /// No target executed the request.
  NotRun,
  /// A target may have executed the request.
  Unknown,
  /// A target may have executed the request; it is idempotent and may be sent again.
  Failed,
};

/// \brief Refusal or failure that is reported to the caller.
struct Refusal
{
  Outcome mOutcome = Outcome::NotRun;
  RefusalReason mReason = RefusalReason::None;
  /// Human-readable explanation.
  std::string mText;
};

/// \brief HTTP headers used between callers, instances and targets.
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

/// \brief \returns the reason for a header value; RefusalReason::None for an unknown value.
RefusalReason parseRefusalReason(const std::string& aText);

/// \brief \returns the HTTP response that reports a refusal to the caller.
HttpResponse refusalResponse(const Refusal& aRefusal);

} // namespace bulrushrun
