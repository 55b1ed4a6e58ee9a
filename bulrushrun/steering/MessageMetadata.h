#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/steering/TargetStats.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Metadata of a caller's request, parsed from its headers.
struct RequestMetadata
{
  /// Unique id of this attempt of the caller.
  std::string mId;
  /// Requests with the same key are faster when one target handles them all.
  std::optional<std::string> mAffinityKey;
  /// How long the caller waits for the response.
  std::optional<Duration> mCallerTimeout;
};

/// \brief Metadata of a target's response, parsed from its status and headers.
struct ResponseMetadata
{
  /// Id of the request that this is the response to; empty when none, or different ones, are given.
  std::optional<std::string> mRequestId;
  /// The target declares that it did not execute the request.
  bool mDeclined = false;
  /// The status tells a caller that the request was not executed, whoever sent it.
  bool mPromisesNotRun = false;
  /// The address now belongs to another target.
  bool mMisdirected = false;
  /// Carries the signature that only targets set, so no intermediary made the response.
  bool mSigned = false;
  /// An intermediary encoded the body, so it is not the one that the target sent.
  bool mEncoded = false;
  /// The target closes the connection after this response.
  bool mClosing = false;
  /// The target is leaving and wants no new requests.
  bool mLeaving = false;
  std::optional<LoadReport> mLoad;
  /// How long the target stays cold.
  std::optional<Duration> mColdRemaining;
  /// For how long the target, which turned the request away, wants no requests.
  std::optional<Duration> mRestTime;
  /// Requests per second that the target takes from all instances together.
  std::optional<double> mRateLimit;
  /// Which headers were ignored as invalid, and why, for the log; empty when none were.
  std::string mIgnored;
};

/// \brief Lookup by a caller of the instances to use.
struct LookupQuery
{
  std::string mHost;
  RegionName mRegion;
  ZoneName mZone;
};

} // namespace bulrushrun
