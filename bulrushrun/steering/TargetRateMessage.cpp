#include "bulrushrun/steering/TargetRateMessage.h"

#include "bulrushrun/core/MessagePack.h"

#include <cmath>
#include <tuple>
#include <utility>

namespace bulrushrun {

namespace {

/// Target, incarnation, rate; a negative rate states that the limit has ended.
using WireRate = std::tuple<std::string, std::uint64_t, double>;
/// Starts with a text, so that it is never taken for a gossip message, which starts with a number.
using WireMessage = std::tuple<std::string, bool, std::vector<WireRate>>;

constexpr const char* kKind = "rates";
constexpr double kEnded = -1;

} // namespace

std::string encodeTargetRates(const TargetRateMessage& aMessage)
{
  std::vector<WireRate> rates;
  rates.reserve(aMessage.mRates.size());
  for (const TargetRate& rate : aMessage.mRates) {
    rates.emplace_back(rate.mTarget.text(), rate.mIncarnation.value(), rate.mRate.value_or(kEnded));
  }
  return packMessage(WireMessage{ kKind, aMessage.mForward, std::move(rates) });
}

std::optional<TargetRateMessage> decodeTargetRates(std::string_view aBytes)
{
  const std::optional<WireMessage> wire = unpackMessage<WireMessage>(aBytes);
  if (!wire || std::get<0>(*wire) != kKind) {
    return std::nullopt;
  }
  TargetRateMessage message;
  message.mForward = std::get<1>(*wire);
  for (const auto& [target, incarnation, rate] : std::get<2>(*wire)) {
    if (target.empty() || !std::isfinite(rate)) {
      return std::nullopt;
    }
    message.mRates.push_back({ TargetId{ target },
                               Incarnation{ incarnation },
                               rate < 0 ? std::nullopt : std::optional{ rate } });
  }
  return message;
}

} // namespace bulrushrun
