#pragma once

#include "bulrushrun/discovery.h"
#include "bulrushrun/limits/ColdAdmission.h"
#include "bulrushrun/steering/TargetStats.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief How a request wants its target chosen.
enum class Affinity
{
  /// Any target; the least loaded one.
  None,
  /// The target that handled the object last, wherever it is.
  Object,
};

/// \brief One choice to make.
struct PickQuery
{
  Affinity mAffinity = Affinity::None;
  /// Hash of the object, for Affinity::Object.
  std::uint64_t mObject = 0;
  /// The answer is large: a target of the caller's zone saves bytes between zones.
  bool mLargeAnswer = false;
  /// Targets that this request was sent to already.
  std::set<TargetId> mTried;
  /// Regions in which it may be served; empty for all.
  std::vector<RegionName> mHomeRegions;
};

/// \brief Where this instance stands, and what the fleet's bounds are.
struct PickContext
{
  ZoneName mZone;
  /// Region of each zone.
  std::map<ZoneName, RegionName> mRegions;
  /// Zones whose targets must get no work.
  std::set<ZoneName> mEvacuated;
  /// Requests a second that a cold target may get from all instances together.
  double mColdBound = 0;
  /// Time after the first sight of a target for which it is taken for cold.
  Duration mColdSpan{ 0 };
  /// Instances of this zone; zero while unknown, then cold targets get nothing from this one.
  std::size_t mZoneInstances = 0;
  /// Targets first seen before this moment were there at the start, and are not cold for it.
  TimePoint mStarted;
};

/// \brief Why no target was picked.
enum class PickFailure
{
  None,
  /// No target is registered, or none may be used.
  NoTarget,
  /// All targets have more work than they can queue.
  AllBusy,
};

/// \brief Result of a choice.
struct Pick
{
  const KnownTarget* mTarget = nullptr;
  PickFailure mFailure = PickFailure::None;
  /// Inputs of the decision, for the log.
  std::size_t mUsable = 0;
  /// Cold targets that may not get more from this instance now.
  std::size_t mColdLimited = 0;
  double mLoad = 0;
};

/// \brief Chooses the target of each send: rendezvous hashing bounded by load for objects that are
/// handled faster where they are warm, least load otherwise. Pure; knows no host and no socket.
class TargetPicker
{
public:
  /// \brief Chooses a target and counts it against the bound on cold targets.
  Pick pick(const PickQuery& aQuery,
            const std::vector<const KnownTarget*>& aUsable,
            const PickContext& aContext,
            TimePoint aNow);

  /// \brief \returns what was observed of a target.
  TargetStats& stats(const TargetId& aTarget) { return mStats[aTarget]; }
  /// \brief Forgets targets that are no longer known.
  void forgetUnknown(const TargetTable& aTable);

private:
  /// A target with its place in the order of preference.
  struct Candidate
  {
    const KnownTarget* mTarget = nullptr;
    double mLoad = 0;
    double mRank = 0;
    /// 0 for the caller's zone, 1 for its region, 2 beyond.
    int mDistance = 0;
  };

  /// One pass over the first candidates: those that hold less than a factor of their slots.
  struct Round
  {
    std::size_t mCandidates;
    double mFactor;
  };

  /// Requests a target may hold, in its slots, to take objects that are not its own.
  static constexpr double kIdleFactor = 0.6;
  /// Requests a target may hold, in its slots, before it is taken for full.
  static constexpr double kFullFactor = 1.7;
  /// The same, for the last resort: targets queue a few requests themselves.
  static constexpr double kQueueFactor = 3.0;
  /// Targets over which one object may be spread: more of them would each have to warm up.
  static constexpr std::size_t kSpread = 2;
  /// Share of the targets that may be ejected at most.
  static constexpr double kMaxEjectedShare = 0.5;

  std::vector<Candidate> candidates(const PickQuery& aQuery,
                                    const std::vector<const KnownTarget*>& aUsable,
                                    const PickContext& aContext,
                                    TimePoint aNow);
  bool admitsCold(const KnownTarget& aTarget, const PickContext& aContext, TimePoint aNow);

  std::map<TargetId, TargetStats> mStats;
  ColdAdmission mCold;
};

} // namespace bulrushrun
