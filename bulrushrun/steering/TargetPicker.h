#pragma once

#include "bulrushrun/discovery.h"
#include "bulrushrun/limits/ColdTargetRateLimiter.h"
#include "bulrushrun/routing/ZoneTopology.h"
#include "bulrushrun/steering/TargetStats.h"

#include <map>
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
  Key,
};

/// \brief One choice to make.
struct PickQuery
{
  Affinity mAffinity = Affinity::None;
  /// Hash of the object, for Affinity::Key.
  std::uint64_t mAffinityKey = 0;
  /// The answer is large: a target of the caller's zone saves bytes between zones.
  bool mLargeResponse = false;
  /// Targets that this request was sent to already.
  std::set<TargetId> mTriedTargets;
  /// Regions in which it may be served; empty for all.
  std::vector<RegionName> mHomeRegions;
  /// Requests a second that a cold target of the service may get from all instances together.
  double mColdBound = 0;
  /// Time after its registration for which a target is taken for cold.
  Duration mColdStartDuration{ 0 };
  /// A target of which nothing was heard for this long, with requests in progress, gets no more.
  Duration mUnresponsiveAfter = Duration::max();
};

/// \brief Where this instance stands, and what holds for all its choices.
struct PickContext
{
  ZoneTopology mZones;
  /// Zones whose targets must get no work.
  std::set<ZoneName> mEvacuated;
  /// This instance's part of what cold targets of its zone may get.
  ColdTargetQuota mColdTargetQuota;
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
struct PickResult
{
  const KnownTarget* mTarget = nullptr;
  PickFailure mFailure = PickFailure::None;
  /// Inputs of the decision, for the log.
  std::size_t mUsable = 0;
  /// Cold targets that may not get more from this instance now.
  std::size_t mColdLimited = 0;
  double mLoad = 0;
  /// Place of the target in the order of preference, from 1; zero when none was picked.
  std::size_t mPreferenceRank = 0;
};

/// \brief Chooses the target of each send. Pure; knows no host and no socket.
///
/// Requests on one object go to the object's home, where it is warm: the winner of weighted
/// rendezvous hashing, in which targets of the own region weigh as many times more as there are
/// regions. Even when all regions ask alike, a region with few targets then gets no more than the
/// average load. A warm target that makes a request wait a little is better than a cold one at
/// once, and every target over which an object spreads forgets another object for it.
///
/// Requests without an object go to the least loaded target, the own zone first.
class TargetPicker
{
public:
  /// \brief Chooses a target and counts it against the bound on cold targets.
  PickResult pick(const PickQuery& aQuery,
                  const std::vector<const KnownTarget*>& aUsable,
                  const PickContext& aContext,
                  TimePoint aNow);

  /// \brief \returns what was observed of a target.
  TargetStats& stats(const TargetId& aTarget) { return mStats[aTarget]; }
  /// \brief Forgets targets that are no longer known.
  void forgetUnknown(const TargetTable& aTable);

private:
  /// A target with what orders it.
  struct Candidate
  {
    const KnownTarget* mTarget = nullptr;
    double mLoad = 0;
    double mRank = 0;
    Distance mDistance = Distance::OtherRegion;
  };

  /// Candidates in the order of preference, in groups.
  struct Preference
  {
    std::vector<Candidate> mOrder;
    /// Targets of the own zone that keep a copy of a large object, at the front.
    std::size_t mLocalEnd = 0;
    /// End of the group in which the object is at home.
    std::size_t mPrimariesEnd = 0;
    /// End of the group that takes over when the homes are full.
    std::size_t mSecondariesEnd = 0;
  };

  /// One pass over a range of the order: those that hold less than a factor of their slots.
  struct SelectionPass
  {
    std::size_t mBegin;
    std::size_t mEnd;
    double mFactor;
  };

  /// Requests a target may hold, in its slots, to take objects that are not its own.
  static constexpr double kOverflowLoadFactor = 0.6;
  /// The same, so that one more request starts at once.
  static constexpr double kFreeSlotLoadFactor = 1.0;
  /// The same, so that one more request waits for less time than a cold run takes.
  static constexpr double kShortWaitLoadFactor = 1.7;
  /// The same, for the last resort: targets queue a few requests themselves.
  static constexpr double kMaxQueueLoadFactor = 3.0;
  /// Share of the targets that may be ejected at most.
  static constexpr double kMaxEjectedShare = 0.5;

  std::vector<Candidate> candidates(const PickQuery& aQuery,
                                    const std::vector<const KnownTarget*>& aUsable,
                                    const PickContext& aContext,
                                    TimePoint aNow);
  static Preference prefer(const PickQuery& aQuery,
                           const PickContext& aContext,
                           std::vector<Candidate> aCandidates);
  static bool keepsLocalReplica(const PickQuery& aQuery,
                                const PickContext& aContext,
                                const std::vector<Candidate>& aCandidates);
  bool admitsCold(const KnownTarget& aTarget,
                  const PickQuery& aQuery,
                  const PickContext& aContext,
                  TimePoint aNow);

  std::map<TargetId, TargetStats> mStats;
  ColdTargetRateLimiter mCold;
};

} // namespace bulrushrun
