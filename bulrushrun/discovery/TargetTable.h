#pragma once

#include "bulrushrun/discovery/TargetEntry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief One registered target, with what this instance concludes about its life.
struct KnownTarget
{
  TargetEntry mEntry;
  std::uint64_t mHash = 0;
  /// When it registered, if this instance saw that; nothing for those that stood in the first
  /// reading of the table.
  std::optional<TimePoint> mRegisteredAt;
  /// End of the cold phase as far as known.
  TimePoint mColdUntil;
  /// Set when the entry vanished without the target having announced that it leaves.
  std::optional<TimePoint> mVanishedAt;
  /// A target that answered under another name: its address was taken over.
  bool mReplaced = false;
};

/// \brief All targets that are registered, by service. Pure.
///
/// An entry that vanishes may be a crash, a silent departure, or a heartbeat that could not be
/// written while the store was away. Such a target goes on serving for a while; it is used as a
/// last resort when more of its service vanished than stayed. One that registers again in the same
/// life is not new.
class TargetTable
{
public:
  /// \brief Span for which a vanished target may still be used as a last resort. Shorter than the
  /// time for which leaving targets go on serving.
  static constexpr Duration kVanishedGracePeriod = std::chrono::milliseconds(1800);

  /// \brief What an update changed, for the log.
  enum class Change
  {
    Nothing,
    Added,
    Restarted,
    Draining,
    Updated,
  };

  /// \brief The table was read whole once: whatever registers from now on is new.
  void setComplete() { mComplete = true; }
  bool isComplete() const { return mComplete; }
  /// \brief Takes over a registration.
  Change update(const TargetEntry& aEntry, TimePoint aNow);
  /// \brief The entry of a target was removed. \returns true when it was known
  bool remove(const TargetId& aId, TimePoint aNow);
  /// \brief Another target answered at the address of this one.
  void setReplaced(const TargetId& aId);
  /// \brief The target said how long it stays cold.
  void setCold(const TargetId& aId, TimePoint aUntil);
  /// \brief The targets of this zone may have become cold.
  void setZoneCold(const ZoneName& aZone, TimePoint aUntil);
  /// \brief Forgets vanished targets whose span is over.
  void sweep(TimePoint aNow);

  /// \brief \returns the target, or nullptr.
  const KnownTarget* find(const TargetId& aId) const;
  /// \brief \returns the targets of a service that may get new work, in order of their ids.
  std::vector<const KnownTarget*> usable(const ServiceName& aService, TimePoint aNow) const;
  std::size_t size() const { return mTargets.size(); }

private:
  /// What is remembered of a target that was dropped.
  struct PastIncarnation
  {
    Incarnation mIncarnation;
    std::optional<TimePoint> mRegisteredAt;
    TimePoint mColdUntil;
  };

  /// Bounds the memory; beyond it all are forgotten, and targets that return count as new.
  static constexpr std::size_t kMaxPastIncarnations = 4096;

  void drop(std::map<TargetId, KnownTarget>::iterator aTarget);

  std::map<TargetId, KnownTarget> mTargets;
  std::map<ServiceName, std::set<TargetId>> mByService;
  std::map<TargetId, PastIncarnation> mPastIncarnations;
  bool mComplete = false;
};

} // namespace bulrushrun
