#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Deviation from the defaults for one target or one zone, with a written reason.
///
/// In force from its acceptance until it expires or is removed.
struct ExceptionRule
{
  /// Target that it matches, or empty.
  TargetId mTarget;
  /// Zone that it matches, or empty. Exactly one of target and zone is set.
  ZoneName mZone;
  /// True when what it matches takes no new work.
  bool mLeaving = false;
  std::string mReason;
  std::string mAuthor;
  std::optional<UnixSeconds> mExpires;
  /// Where it stands in the file it was read from.
  SourceLocation mLocation;

  /// \brief \returns true when the exception is still in force.
  bool isInForce(UnixSeconds aNow) const { return !mExpires || aNow < *mExpires; }
};

} // namespace bulrushrun
