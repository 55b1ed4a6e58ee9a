#pragma once

#include "bulrushrun/claims/ClaimRecord.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Claim that a request asks for.
struct ClaimRequest
{
  /// Key of the claim's record in the table.
  std::string mKey;
  std::string mFingerprint;
  /// Time after which the table may delete the record.
  UnixSeconds mExpires{ 0 };
};

/// \brief Handle of a held claim: its token and the version of its record.
struct ClaimHandle
{
  ClaimRequest mRequest;
  ClaimToken mToken;
  RecordVersion mVersion;
};

/// \brief Result of an attempt to acquire a claim.
enum class ClaimStatus
{
  /// This request holds the claim and may be executed.
  Acquired,
  /// The request was executed before; its stored response is available.
  Replay,
  /// Another holder may have executed the request.
  HeldByOther,
  /// The idempotency key was used for a different request.
  KeyMismatch,
  /// The table gave no usable response; the request must not be executed.
  Unavailable,
};

/// \brief Status of an attempt, with the claim handle or the stored response that goes with it.
struct ClaimResult
{
  ClaimStatus mStatus = ClaimStatus::Unavailable;
  std::optional<ClaimHandle> mClaimHandle;
  std::optional<StoredOutcome> mOutcome;
};

} // namespace bulrushrun
