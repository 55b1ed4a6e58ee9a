#pragma once

#include "bulrushrun/host/Http.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief How far a claimed request has come.
enum class ClaimState
{
  /// Its holder may run it, or may have run it.
  Claimed = 1,
  /// It was given back unused; the key may be claimed anew.
  Released = 2,
  /// It ran, and the answer is kept.
  Completed = 3,
};

/// \brief Answer of a request that ran, kept for a repeat.
struct StoredOutcome
{
  int mStatus = 0;
  Headers mHeaders;
  /// The body, when it is small.
  std::string mBody;
  /// Object that holds the body otherwise.
  std::string mObject;
  /// False when the answer was too large to keep.
  bool mIsStored = true;
};

/// \brief Record of one idempotency key in the platform's table.
struct ClaimRecord
{
  ClaimState mState = ClaimState::Claimed;
  ClaimToken mToken;
  /// Hash of method, path and body, to tell a repeat from a different request.
  std::string mFingerprint;
  InstanceId mHolder;
  std::optional<StoredOutcome> mOutcome;
};

/// \brief \returns the record as MessagePack.
std::string encodeClaimRecord(const ClaimRecord& aRecord);

/// \brief \returns the record, or nothing when the bytes are malformed.
std::optional<ClaimRecord> decodeClaimRecord(const std::string& aBytes);

} // namespace bulrushrun
