#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/steering/MessageMetadata.h"
#include "bulrushrun/steering/PickQuery.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief What was known of a target when it was chosen, for the log and for learning.
struct TargetChoice
{
  /// Position of the target in the order of preference, from 1; 0 without a choice.
  std::size_t mPreferenceRank = 0;
  double mLoad = 0;
  int mSlots = 0;
  /// The target is expected to have the object's data.
  bool mIsWarm = true;
  /// How long work takes at the target, as a multiple of the usual time.
  double mSlowdown = 1;
  /// Expected time to the response; empty where requests do not compete by priority.
  std::optional<Duration> mExpected;
};

/// \brief One attempt of a request at a target.
struct TargetAttempt
{
  AttemptId mId;
  ExchangeId mExchange;
  TargetId mTarget;
  ZoneName mZone;
  /// Incarnation of the target when the attempt started.
  Incarnation mIncarnation;
  /// Regions in which the request could be served when the attempt started.
  HomeRegions mHomeRegions;
  TargetChoice mChoice;
  TimePoint mStarted;
  bool mIsInProgress = true;
  /// When the token of the customer's quota that the attempt uses was taken, if any.
  std::optional<TimePoint> mTokenTakenAt;
  /// The response head, buffered until the body is complete or exceeds the buffer.
  std::optional<ResponseHead> mHead;
  std::string mBody;
  /// Bytes of a body that is not forwarded.
  std::size_t mDiscardedBytes = 0;
  ResponseMetadata mMetadata;
};

} // namespace bulrushrun
