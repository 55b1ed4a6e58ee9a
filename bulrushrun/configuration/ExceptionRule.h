#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Entry of the configuration that marks one target or one zone as leaving, with a reason.
///
/// Active from its acceptance until it expires or is removed.
struct ExceptionRule
{
  /// Target that it matches, or empty.
  TargetId mTarget;
  /// Zone that it matches, or empty. Exactly one of target and zone is set.
  ZoneName mZone;
  /// True when the matched targets must not get new requests.
  bool mLeaving = false;
  std::string mReason;
  std::string mAuthor;
  std::optional<UnixSeconds> mExpires;
  /// Location in the file that it was read from.
  SourceLocation mLocation;

  /// \brief \returns true until the rule expires.
  bool isInForce(UnixSeconds aNow) const { return !mExpires || aNow < *mExpires; }
};

} // namespace bulrushrun
