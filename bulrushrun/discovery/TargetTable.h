#pragma once

#include "bulrushrun/discovery/LeavingIncarnations.h"
#include "bulrushrun/discovery/TargetEntry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Registered target with the lifecycle state that this instance derived for it.
struct KnownTarget
{
  TargetEntry mEntry;
  std::uint64_t mHash = 0;
  /// Time of registration if this instance observed it; empty for targets that were in the table
  /// when it was first read.
  std::optional<TimePoint> mRegisteredAt;
  /// End of the cold phase, as far as known.
  TimePoint mColdUntil;
  /// Set when the registration vanished although the target had not announced that it is leaving.
  std::optional<TimePoint> mVanishedAt;
  /// Another target responded at its address, so the address has been reassigned.
  bool mReplaced = false;
};

/// \brief All registered targets, indexed by service.
///
/// A registration may vanish because the target crashed, because it left without announcement, or
/// because its heartbeat could not be written while the store was unavailable. Such a target
/// keeps serving requests for a while. During a grace period it is used as a last resort, when
/// more targets of its service vanished than stayed. A target that registers again in the same
/// incarnation does not count as new. Performs no I/O; the time is passed as an argument.
class TargetTable
{
public:
  /// \brief Grace period during which a vanished target may still be used as a last resort.
  /// Shorter than the time for which leaving targets keep serving requests.
  static constexpr Duration kVanishedGracePeriod = std::chrono::milliseconds(1800);

  /// \brief Effect of an update, for logging.
  enum class Change
  {
    Nothing,
    Added,
    Restarted,
    Draining,
    Updated,
  };

  /// \brief Records that the table has been read completely; later registrations count as new.
  void setComplete() { mComplete = true; }
  bool isComplete() const { return mComplete; }
  /// \brief Applies a registration. \returns the effect
  Change update(const TargetEntry& aEntry, TimePoint aNow);
  /// \brief Records that a registration was removed. \returns false when the target is unknown or
  /// already vanished
  bool remove(const TargetId& aId, TimePoint aNow);
  /// \brief Records that a target said that it is leaving; it does not return in that incarnation,
  /// whatever its registration says. \returns false when this was known
  bool setLeaving(const TargetId& aId, Incarnation aIncarnation);
  /// \brief \returns the zone of a target that announced that it is leaving and has not started
  /// again since, also after its registration ended; nothing for others.
  /// \param aHash  hash of the target's id
  std::optional<ZoneName> zoneOfLeaving(std::uint64_t aHash) const;
  /// \brief Records that another target responded at the address of this one.
  void setReplaced(const TargetId& aId);
  /// \brief Extends the cold phase of a target, which reported how long it stays cold.
  void setCold(const TargetId& aId, TimePoint aUntil);
  /// \brief Extends the cold phase of all targets of a zone, which may have become cold.
  void setZoneCold(const ZoneName& aZone, TimePoint aUntil);
  /// \brief Removes vanished targets whose grace period has ended.
  void sweep(TimePoint aNow);

  /// \brief \returns the target, or nullptr.
  const KnownTarget* find(const TargetId& aId) const;
  /// \brief \returns the targets of a service that may receive new requests, in order of id;
  /// vanished targets, if used, come last.
  std::vector<const KnownTarget*> usable(const ServiceName& aService, TimePoint aNow) const;
  std::size_t size() const { return mTargets.size(); }

private:
  /// State kept of a removed target, restored if it registers again in the same incarnation.
  struct PastIncarnation
  {
    Incarnation mIncarnation;
    std::optional<TimePoint> mRegisteredAt;
    TimePoint mColdUntil;
  };

  /// Limits memory use. When it is reached, all are discarded, and targets that register again
  /// count as new.
  static constexpr std::size_t kMaxPastIncarnations = 4096;

  void drop(std::map<TargetId, KnownTarget>::iterator aTarget);
  void rememberLeaving(const KnownTarget& aTarget);

  std::map<TargetId, KnownTarget> mTargets;
  std::map<ServiceName, std::set<TargetId>> mByService;
  std::map<TargetId, PastIncarnation> mPastIncarnations;
  LeavingIncarnations mLeaving;
  /// By the hash of the target's id. Limited to kMaxPastIncarnations like the others.
  std::unordered_map<std::uint64_t, ZoneName> mLeavingZones;
  bool mComplete = false;
};

} // namespace bulrushrun
