#include "bulrushrun/placement/PlacementMessage.h"

#include "bulrushrun/core/MessagePack.h"

#include <algorithm>
#include <tuple>

namespace bulrushrun {

namespace {

using WirePlacement = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;
/// Starts with a text, so that it is never taken for a gossip message, which starts with a number.
using WireMessage = std::tuple<std::string, bool, std::vector<WirePlacement>>;

constexpr const char* kKind = "placements";
constexpr std::size_t kMaxPlacementsPerMessage = 48;
/// Placements that fit into a row of 64 KiB, at 28 bytes at most, after Base64.
constexpr std::size_t kMaxPlacementsPerRow = 1600;

std::string encode(const Placement* aBegin, std::size_t aCount, bool aForward)
{
  std::vector<WirePlacement> placements;
  placements.reserve(aCount);
  std::transform(
    aBegin, aBegin + aCount, std::back_inserter(placements), [](const Placement& aPlacement) {
      return WirePlacement{ aPlacement.mObject.value(),
                            aPlacement.mTarget.value(),
                            aPlacement.mGeneration.value() };
    });
  return packMessage(WireMessage{ kKind, aForward, std::move(placements) });
}

} // namespace

std::vector<std::string> encodePlacements(const std::vector<Placement>& aPlacements, bool aForward)
{
  std::vector<std::string> messages;
  for (std::size_t first = 0; first < aPlacements.size(); first += kMaxPlacementsPerMessage) {
    const std::size_t count = std::min(kMaxPlacementsPerMessage, aPlacements.size() - first);
    messages.push_back(encode(aPlacements.data() + first, count, aForward));
  }
  return messages;
}

std::string encodeAllPlacements(const std::vector<Placement>& aPlacements)
{
  return encode(aPlacements.data(), aPlacements.size(), false);
}

std::string encodeSavedPlacements(const std::vector<Placement>& aPlacements)
{
  return encode(aPlacements.data(), std::min(kMaxPlacementsPerRow, aPlacements.size()), false);
}

std::optional<PlacementMessage> decodePlacements(std::string_view aBytes)
{
  const std::optional<WireMessage> wire = unpackMessage<WireMessage>(aBytes);
  if (!wire || std::get<0>(*wire) != kKind) {
    return std::nullopt;
  }
  PlacementMessage message;
  message.mForward = std::get<1>(*wire);
  for (const auto& [object, target, generation] : std::get<2>(*wire)) {
    message.mPlacements.push_back(
      { ObjectKey{ object }, TargetHash{ target }, PlacementGeneration{ generation } });
  }
  return message;
}

} // namespace bulrushrun
