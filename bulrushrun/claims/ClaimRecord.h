#pragma once

#include "bulrushrun/host/Http.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief State of a claim in its record.
enum class ClaimState
{
  /// The holder may execute the request, or may have executed it.
  Claimed = 1,
  /// The claim was released unused; the key may be claimed again.
  Released = 2,
  /// The request was executed, and its response is stored.
  Completed = 3,
};

/// \brief Response to an executed request, stored for replay to duplicates.
struct StoredOutcome
{
  int mStatus = 0;
  Headers mHeaders;
  /// The body, if it is small enough for the record.
  std::string mBody;
  /// Name of the object that holds the body otherwise.
  std::string mObject;
  /// False when the response was too large to store.
  bool mIsStored = true;
};

/// \brief Record of one idempotency key in the platform's table.
struct ClaimRecord
{
  ClaimState mState = ClaimState::Claimed;
  ClaimToken mToken;
  /// Hash of method, path and body, to distinguish a duplicate from a different request.
  std::string mFingerprint;
  InstanceId mHolder;
  std::optional<StoredOutcome> mOutcome;
};

/// \brief \returns the record encoded as MessagePack.
std::string encodeClaimRecord(const ClaimRecord& aRecord);

/// \brief \returns the record, or nothing when the bytes are malformed.
std::optional<ClaimRecord> decodeClaimRecord(const std::string& aBytes);

} // namespace bulrushrun
