#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace bulrushrun {

/// \brief Incarnations of targets that announced that they are leaving.
///
/// An incarnation does not return to service, so an entry outlives the target's registration.
/// Without an incarnation, a later start cannot be distinguished from this one, so none is
/// recorded.
class LeavingIncarnations
{
public:
  /// \brief Limits memory use; beyond it, the oldest entry is discarded.
  static constexpr std::size_t kMaxEntries = 4096;

  /// \brief Records an incarnation. \returns false when it is known, older than the known one, or
  /// unspecified
  bool add(const TargetId& aTarget, Incarnation aIncarnation)
  {
    const auto found = mEntries.find(aTarget);
    if (aIncarnation == Incarnation{} ||
        (found != mEntries.end() && aIncarnation <= found->second.mIncarnation)) {
      return false;
    }
    if (found == mEntries.end() && mEntries.size() >= kMaxEntries) {
      mEntries.erase(std::min_element(
        mEntries.begin(), mEntries.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.mNumber < aRight.second.mNumber;
        }));
    }
    mEntries[aTarget] = { aIncarnation, ++mLastNumber };
    return true;
  }

  /// \brief \returns true when this incarnation announced that it is leaving.
  bool contains(const TargetId& aTarget, Incarnation aIncarnation) const
  {
    const auto found = mEntries.find(aTarget);
    return found != mEntries.end() && found->second.mIncarnation == aIncarnation;
  }

private:
  struct Entry
  {
    Incarnation mIncarnation;
    /// Position in the order in which the entries were added.
    std::uint64_t mNumber = 0;
  };

  std::map<TargetId, Entry> mEntries;
  std::uint64_t mLastNumber = 0;
};

} // namespace bulrushrun
