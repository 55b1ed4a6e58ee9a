#include "bulrushrun/steering/LoadReportMessage.h"

#include "bulrushrun/core/MessagePack.h"

#include <cmath>
#include <tuple>
#include <utility>

namespace bulrushrun {

namespace {

using WireLoad = std::tuple<std::string, std::int32_t>;
/// Starts with a text, so that it is never taken for a gossip message, which starts with a number.
using WireMessage = std::tuple<std::string, bool, std::vector<WireLoad>>;

constexpr const char* kKind = "loads";
/// The message has the same form, with percents instead of requests.
constexpr const char* kSlowdownKind = "slowdowns";
constexpr int kMaxPercent = 10'000;
/// Larger loads are no report of a target.
constexpr int kMaxRequests = 1'000'000;

} // namespace

std::string encodeLoadReports(const LoadReportMessage& aMessage)
{
  std::vector<WireLoad> loads;
  loads.reserve(aMessage.mLoads.size());
  for (const TargetLoad& load : aMessage.mLoads) {
    loads.emplace_back(load.mTarget.text(), load.mRequests);
  }
  return packMessage(WireMessage{ kKind, aMessage.mForward, std::move(loads) });
}

std::optional<LoadReportMessage> decodeLoadReports(std::string_view aBytes)
{
  const std::optional<WireMessage> wire = unpackMessage<WireMessage>(aBytes);
  if (!wire || std::get<0>(*wire) != kKind) {
    return std::nullopt;
  }
  LoadReportMessage message;
  message.mForward = std::get<1>(*wire);
  for (const auto& [target, requests] : std::get<2>(*wire)) {
    if (target.empty() || requests < 0 || requests > kMaxRequests) {
      return std::nullopt;
    }
    message.mLoads.push_back({ TargetId{ target }, requests });
  }
  return message;
}

std::string encodeSlowdowns(const SlowdownMessage& aMessage)
{
  std::vector<WireLoad> slowdowns;
  slowdowns.reserve(aMessage.mSlowdowns.size());
  for (const TargetSlowdown& slowdown : aMessage.mSlowdowns) {
    slowdowns.emplace_back(slowdown.mTarget.text(), std::lround(100 * slowdown.mSlowdown));
  }
  return packMessage(WireMessage{ kSlowdownKind, aMessage.mForward, std::move(slowdowns) });
}

std::optional<SlowdownMessage> decodeSlowdowns(std::string_view aBytes)
{
  const std::optional<WireMessage> wire = unpackMessage<WireMessage>(aBytes);
  if (!wire || std::get<0>(*wire) != kSlowdownKind) {
    return std::nullopt;
  }
  SlowdownMessage message;
  message.mForward = std::get<1>(*wire);
  for (const auto& [target, percent] : std::get<2>(*wire)) {
    if (target.empty() || percent <= 0 || percent > kMaxPercent) {
      return std::nullopt;
    }
    message.mSlowdowns.push_back({ TargetId{ target }, percent / 100.0 });
  }
  return message;
}

} // namespace bulrushrun
