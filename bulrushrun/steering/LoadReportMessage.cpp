#include "bulrushrun/steering/LoadReportMessage.h"

#include "bulrushrun/core/MessagePack.h"

#include <tuple>
#include <utility>

namespace bulrushrun {

namespace {

using WireLoad = std::tuple<std::string, std::int32_t>;
/// Starts with a text, so that it is never taken for a gossip message, which starts with a number.
using WireMessage = std::tuple<std::string, bool, std::vector<WireLoad>>;

constexpr const char* kKind = "loads";
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

} // namespace bulrushrun
