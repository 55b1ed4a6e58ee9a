#pragma once

#include "bulrushrun/placement/Placement.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Placements of objects that this instance made or learned from others. Soft state: views
/// that differ cost a repeated cold execution, nothing else. Performs no I/O.
class PlacementTable
{
public:
  /// \brief Number of parts in which the table is saved.
  static constexpr std::size_t kParts = 8;
  /// \brief Time without a use after which a placement is dropped.
  static constexpr Duration kIdleTimeout = std::chrono::minutes(10);
  /// \brief Age from which the use of a placement is announced again, so that instances that do
  /// not use the object keep it.
  static constexpr Duration kRenewalAge = std::chrono::minutes(3);
  /// \brief Limits memory use. Further objects are not placed.
  static constexpr std::size_t kMaxPlacements = 32768;

  /// \brief Allows place(). Before, the placements of others are not known yet.
  void setComplete() { mComplete = true; }
  /// \brief \returns the placement of an object, or nothing.
  std::optional<Placement> find(ObjectKey aObject) const;
  /// \brief Places an object at a target. \returns the placement, to be announced, or nothing when
  /// the table is full or not complete
  std::optional<Placement> place(ObjectKey aObject, TargetHash aTarget, TimePoint aNow);
  /// \brief Records a use of an object. \returns its placement if it is to be announced again
  std::optional<Placement> renew(ObjectKey aObject, TimePoint aNow);
  /// \brief Takes a placement of another instance, unless the known one supersedes it.
  void merge(const Placement& aPlacement, TimePoint aNow);
  void merge(const std::vector<Placement>& aPlacements, TimePoint aNow);
  /// \brief Drops placements of objects that are not in use any more.
  void sweep(TimePoint aNow);

  /// \brief \returns the number of objects placed at a target.
  std::size_t objectsAt(TargetHash aTarget) const;
  std::size_t size() const { return mEntries.size(); }
  /// \brief \returns all placements.
  std::vector<Placement> all() const;
  /// \brief \returns the placements of a part.
  std::vector<Placement> part(std::size_t aPart) const;
  /// \brief \returns a number that grows with each change of a part.
  std::uint64_t changes(std::size_t aPart) const { return mChanges[aPart]; }

private:
  struct Entry
  {
    Placement mPlacement;
    /// Last use, by this instance or announced by another.
    TimePoint mUsedAt;
  };

  static std::size_t partOf(ObjectKey aObject) { return aObject.value() % kParts; }
  bool set(const Placement& aPlacement, TimePoint aNow);
  void uncount(TargetHash aTarget);

  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::unordered_map<std::uint64_t, std::size_t> mObjectsAt;
  std::array<std::uint64_t, kParts> mChanges{};
  bool mComplete = false;
};

} // namespace bulrushrun
