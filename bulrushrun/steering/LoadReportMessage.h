#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Load of one target, as an instance tells it to others.
struct TargetLoad
{
  TargetId mTarget;
  /// Requests that run and wait at the target.
  int mRequests = 0;
};

/// \brief How long work takes at one target, as an instance tells it to others.
struct TargetSlowdown
{
  TargetId mTarget;
  /// Multiple of the usual time.
  double mSlowdown = 1;
};

/// \brief Message between instances about busy targets.
struct LoadReportMessage
{
  /// The receiver is to forward the reports to the other instances of its zone.
  bool mForward = false;
  std::vector<TargetLoad> mLoads;
};

/// \brief \returns the message encoded as MessagePack.
std::string encodeLoadReports(const LoadReportMessage& aMessage);

/// \brief Message between instances about targets that are slow now. A kind of its own, so that
/// older instances drop it and still take the loads.
struct SlowdownMessage
{
  /// The receiver is to forward the message to the other instances of its zone.
  bool mForward = false;
  std::vector<TargetSlowdown> mSlowdowns;
};

/// \brief \returns the message encoded as MessagePack.
std::string encodeSlowdowns(const SlowdownMessage& aMessage);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<SlowdownMessage> decodeSlowdowns(std::string_view aBytes);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<LoadReportMessage> decodeLoadReports(std::string_view aBytes);

} // namespace bulrushrun
