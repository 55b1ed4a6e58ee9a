#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Rate limit of one incarnation of a target, as announced by an instance.
struct TargetRate
{
  TargetId mTarget;
  Incarnation mIncarnation;
  /// Requests per second from all instances together; nothing when the limit has ended.
  std::optional<double> mRate;
};

/// \brief Message between instances about the rates that targets named.
struct TargetRateMessage
{
  /// The receiver is to forward the rates to the other instances of its zone.
  bool mForward = false;
  std::vector<TargetRate> mRates;
};

/// \brief \returns the message encoded as MessagePack.
std::string encodeTargetRates(const TargetRateMessage& aMessage);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<TargetRateMessage> decodeTargetRates(std::string_view aBytes);

} // namespace bulrushrun
