#pragma once

#include "bulrushrun/claims/ClaimRecord.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief What a request needs to be claimed.
struct ClaimRequest
{
  /// Key of the record in the table.
  std::string mKey;
  std::string mFingerprint;
  /// When the table may forget the record.
  UnixSeconds mExpires{ 0 };
};

/// \brief Claim that is held: where its record stands.
struct ClaimHandle
{
  ClaimRequest mRequest;
  ClaimToken mToken;
  RecordVersion mVersion;
};

/// \brief How an attempt to claim ended.
enum class ClaimStatus
{
  /// The key is this request's alone; it may run.
  Acquired,
  /// The request ran before; its answer is at hand.
  Replay,
  /// Another holder may have run it.
  HeldByOther,
  /// The key belongs to a different request.
  KeyMismatch,
  /// The table gave no usable answer; nothing may run.
  Unavailable,
};

/// \brief Result of an attempt to claim.
struct ClaimResult
{
  ClaimStatus mStatus = ClaimStatus::Unavailable;
  std::optional<ClaimHandle> mClaimHandle;
  std::optional<StoredOutcome> mOutcome;
};

} // namespace bulrushrun
