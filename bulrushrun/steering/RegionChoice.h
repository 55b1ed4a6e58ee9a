#pragma once

#include <cstddef>

namespace bulrushrun {

/// \brief Why a request is sent to the region in which it runs.
enum class RegionChoice
{
  /// The region of the target that comes first for the request.
  Preferred,
  /// Another region, because that target is unavailable: evacuated, ejected, unresponsive, resting
  /// or cold.
  Displaced,
  /// Another region, because that target is busy.
  Overflow,
  /// Another region, because requests return gradually to a target that was unavailable.
  Returning,
};

inline constexpr std::size_t kRegionChoices = 4;

/// \brief \returns the name of a choice, for the log and the metrics.
constexpr const char* describe(RegionChoice aChoice)
{
  switch (aChoice) {
    case RegionChoice::Displaced:
      return "displaced";
    case RegionChoice::Overflow:
      return "overflow";
    case RegionChoice::Returning:
      return "returning";
    default:
      return "preferred";
  }
}

} // namespace bulrushrun
