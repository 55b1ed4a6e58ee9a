#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/steering/TargetStats.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief What a caller's request says of itself, translated from its headers.
struct RequestMetadata
{
  /// Id of this attempt of the caller; unique.
  std::string mId;
  /// Object that it is about; requests on one object are handled faster by one target.
  std::optional<std::string> mAffinityKey;
  /// How long the caller will wait.
  std::optional<Duration> mCallerTimeout;
};

/// \brief What a target's answer says of itself, translated from its status and headers.
struct ResponseMetadata
{
  /// Id of the request that it answers.
  std::optional<std::string> mRequestId;
  /// The target declares that it did not run the request.
  bool mDeclined = false;
  /// Another target has the address.
  bool mMisdirected = false;
  /// It bears the mark of a target's own answer.
  bool mSigned = false;
  /// The body was encoded on the way, so that it is not the target's.
  bool mEncoded = false;
  /// The target closes the connection behind this answer.
  bool mClosing = false;
  std::optional<LoadReport> mLoad;
  /// How long the target stays cold.
  std::optional<Duration> mColdRemaining;
};

/// \brief What a caller asks when it wants to know which instances to use.
struct LookupQuery
{
  std::string mHost;
  RegionName mRegion;
  ZoneName mZone;
};

} // namespace bulrushrun
