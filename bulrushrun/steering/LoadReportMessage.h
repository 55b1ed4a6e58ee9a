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

/// \brief Message between instances about busy targets.
struct LoadReportMessage
{
  /// The receiver is to forward the reports to the other instances of its zone.
  bool mForward = false;
  std::vector<TargetLoad> mLoads;
};

/// \brief \returns the message encoded as MessagePack.
std::string encodeLoadReports(const LoadReportMessage& aMessage);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<LoadReportMessage> decodeLoadReports(std::string_view aBytes);

} // namespace bulrushrun
