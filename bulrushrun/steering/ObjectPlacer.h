#pragma once

#include "bulrushrun/limits/WindowQuota.h"
#include "bulrushrun/placement/PlacementPolicy.h"
#include "bulrushrun/placement/PlacementTable.h"
#include "bulrushrun/steering/PickQuery.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Keeps each object at one target, where its data is warm. Performs no I/O.
class ObjectPlacer
{
public:
  /// \brief Ranks the target that keeps the object of a request first among the candidates.
  ///
  /// An object without a target gets one, and so does an object whose target is no longer
  /// registered, or is busy and holds several times as many objects as another one, or is in
  /// another region although this one has room, or at a target that holds too many. Few
  /// objects change their region at a time. While its target is only avoided, an object is served
  /// elsewhere and returns. \param aUsable  all registered targets of the service, including those
  /// to be avoided \returns a placement to be announced to the other instances, or nothing
  std::optional<Placement> place(const PickQuery& aQuery,
                                 const std::vector<const KnownTarget*>& aUsable,
                                 const PickContext& aContext,
                                 TimePoint aNow,
                                 std::vector<TargetCandidate>& aCandidates);

  PlacementTable& placements() { return mPlacements; }
  /// \brief \returns the placement of an object, or nothing.
  std::optional<Placement> find(ObjectKey aObject) const { return mPlacements.find(aObject); }

private:
  std::optional<TargetHash> chooseTarget(const PickQuery& aQuery,
                                         const std::vector<const KnownTarget*>& aUsable,
                                         const PickContext& aContext,
                                         TimePoint aNow,
                                         const std::vector<TargetCandidate>& aCandidates);
  template<class PlacementTargets>
  std::optional<TargetHash> chooseAnew(int aRegion,
                                       const std::vector<TargetCandidate>& aCandidates,
                                       const PlacementTargets& aPlacementTargets);
  /// \returns a better target for an object whose target is registered, at intervals.
  std::optional<TargetHash> rebalance(const Placement& aPlacement,
                                      const TargetCandidate& aKeeper,
                                      const std::vector<TargetCandidate>& aCandidates,
                                      TimePoint aNow);
  std::optional<TargetHash> relieve(const TargetCandidate& aKeeper,
                                    const std::vector<TargetCandidate>& aCandidates,
                                    const std::vector<PlacementCandidate>& aChoices);
  bool mayChangeRegion() const { return mRegionChanges.allows(mRegionChangeLimit); }

  /// Part of PickContext::mMaxShift for objects that change their region.
  static constexpr double kRegionChangePart = 0.15;
  /// Times that an object may have been placed before it is no longer moved: one that callers of
  /// several regions use would move back and forth.
  static constexpr std::uint64_t kMaxGenerationToRebalance = 4;
  /// Interval at which an object is considered for a better target.
  static constexpr Duration kRebalanceInterval = std::chrono::milliseconds(100);

  PlacementTable mPlacements;
  /// Objects that this instance moved to another region, of the part that all instances may move.
  WindowQuota mRegionChanges;
  double mRegionChangeLimit = 0;
  TimePoint mNextRebalanceAt;
};

} // namespace bulrushrun
