#include "bulrushrun/steering/TargetPicker.h"

#include "bulrushrun/routing/Rendezvous.h"

#include <algorithm>

namespace bulrushrun {

namespace {

bool isInHomeRegion(const PickQuery& aQuery, const ZoneName& aZone, const ZoneTopology& aZones)
{
  return aQuery.mHomeRegions.contains(aZones.regionOf(aZone));
}

/// \returns a random part of one request, another one for each instance, target and time. Instances
/// see a report at the same time and would all choose the target that it favours.
double loadJitter(const KnownTarget& aTarget, const PickContext& aContext, TimePoint aNow)
{
  return toUnitInterval(combineHashes(combineHashes(aContext.mInstanceHash, aTarget.mHash),
                                      static_cast<std::uint64_t>(aNow.time_since_epoch().count())));
}

bool mayServe(const KnownTarget& aTarget, const PickQuery& aQuery, const PickContext& aContext)
{
  const ZoneName& zone = aTarget.mEntry.mZone;
  return !aContext.mEvacuated.contains(zone) && isInHomeRegion(aQuery, zone, aContext.mZones);
}

} // namespace

std::vector<TargetPicker::Candidate> TargetPicker::candidates(
  const PickQuery& aQuery,
  const std::vector<const KnownTarget*>& aUsable,
  const PickContext& aContext,
  TimePoint aNow)
{
  std::vector<Candidate> eligible;
  std::vector<Candidate> avoided;
  const double ownRegionWeight = static_cast<double>(aContext.mZones.regionCount());
  for (const KnownTarget* target : aUsable) {
    const TargetEntry& entry = target->mEntry;
    const ZoneTopology::Location location = aContext.mZones.locate(entry.mZone);
    const auto [known, isInserted] = mStats.try_emplace(entry.mId);
    TargetStats& stats = known->second;
    if (isInserted && target->mRegisteredAt) {
      ReturnRamp::startNew(stats.returning());
    }
    const bool awaitsProbe = stats.isOnProbation() && stats.inFlight() > 0;
    const bool isAvoided =
      stats.isEjected(aNow) || awaitsProbe || stats.isUnresponsive(aQuery.mUnresponsiveAfter, aNow);
    // Resting targets are no candidates at all, so that the limit on avoided ones keeps them out.
    const bool isExcluded = stats.isResting(aNow) || aContext.mEvacuated.contains(entry.mZone);
    mReturns.update(stats.returning(),
                    !isAvoided && !isExcluded &&
                      (location.mDistance == Distance::SameZone ||
                       !isCold(*target, aQuery.mColdStartDuration, aNow)));
    if (isExcluded || aQuery.mTriedTargets.contains(entry.mId) ||
        !isInHomeRegion(aQuery, entry.mZone, aContext.mZones)) {
      continue;
    }
    Candidate candidate;
    candidate.mTarget = target;
    candidate.mLoad = stats.load(aNow);
    candidate.mSlowdown = stats.slowdown(aNow);
    candidate.mDistance = location.mDistance;
    candidate.mRegion = location.mRegion;
    candidate.mReturned = static_cast<float>(mReturns.progress(stats.returning()));
    candidate.mIsNew = stats.returning().mIsNew;
    if (aQuery.mAffinity == Affinity::Key) {
      const double weight = candidate.mDistance == Distance::OtherRegion ? 1 : ownRegionWeight;
      candidate.mRank = rendezvousScore(aQuery.mAffinityKey, target->mHash, weight * entry.mSlots);
    } else {
      candidate.mRank = -candidate.mLoad / entry.mSlots;
      if (aQuery.mTerms) {
        candidate.mRank = -candidate.mSlowdown *
                          (candidate.mLoad + loadJitter(*target, aContext, aNow)) / entry.mSlots;
      }
    }
    (isAvoided ? avoided : eligible).push_back(candidate);
  }
  const double maxAvoided =
    kMaxEjectedShare * static_cast<double>(eligible.size() + avoided.size());
  if (static_cast<double>(avoided.size()) > maxAvoided) {
    for (Candidate& candidate : avoided) {
      candidate.mReturned = 1;
    }
    eligible.insert(eligible.end(), avoided.begin(), avoided.end());
  }
  return eligible;
}

/// \returns true when the key has a local replica in this zone. The targets of a zone replicate as
/// many keys as their slots can serve if all zones send equal load. The choice depends only on the
/// key's hash, so that all instances of the zone agree on it.
bool TargetPicker::keepsLocalReplica(const PickQuery& aQuery,
                                     const PickContext& aContext,
                                     const std::vector<Candidate>& aCandidates)
{
  double localSlots = 0;
  double totalSlots = 0;
  for (const Candidate& candidate : aCandidates) {
    const int slots = candidate.mTarget->mEntry.mSlots;
    localSlots += candidate.mDistance == Distance::SameZone ? slots : 0;
    totalSlots += slots;
  }
  constexpr std::uint64_t kSalt = 0x6e656172;
  return toUnitInterval(combineHashes(aQuery.mAffinityKey, kSalt)) * totalSlots <
         localSlots * static_cast<double>(aContext.mZones.zoneCount());
}

TargetPicker::CandidateOrder TargetPicker::orderCandidates(const PickQuery& aQuery,
                                                           const PickContext& aContext,
                                                           std::vector<Candidate> aCandidates)
{
  CandidateOrder preference;
  std::vector<Candidate>& order = preference.mCandidates;
  order = std::move(aCandidates);
  const bool byKey = aQuery.mAffinity == Affinity::Key;
  std::sort(order.begin(), order.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
    if (!byKey && aLeft.mDistance != aRight.mDistance) {
      return aLeft.mDistance < aRight.mDistance;
    }
    return aLeft.mRank > aRight.mRank;
  });
  if (!byKey) {
    preference.mPrimariesEnd = preference.mSecondariesEnd = order.size();
    return preference;
  }
  if (aQuery.mLargeResponse && keepsLocalReplica(aQuery, aContext, order)) {
    const auto nearest = std::find_if(order.begin(), order.end(), [](const Candidate& aCandidate) {
      return aCandidate.mDistance == Distance::SameZone;
    });
    if (nearest != order.end()) {
      std::rotate(order.begin(), nearest, nearest + 1);
      preference.mLocalEnd = 1;
    }
  }
  preference.mPrimariesEnd = std::min(preference.mLocalEnd + 1, order.size());
  preference.mSecondariesEnd = std::min(preference.mPrimariesEnd + 1, order.size());
  return preference;
}

bool TargetPicker::admitsIfCold(const KnownTarget& aTarget,
                                const PickQuery& aQuery,
                                const PickContext& aContext,
                                TimePoint aNow)
{
  if (!isCold(aTarget, aQuery.mColdStartDuration, aNow)) {
    return true;
  }
  return aTarget.mEntry.mZone == aContext.mZones.own() &&
         mColdRateLimiter.admit(aTarget.mEntry.mId,
                                aTarget.mHash,
                                aQuery.mColdRateLimit,
                                aContext.mColdTargetQuota,
                                aNow);
}

std::optional<TimePoint> TargetPicker::earliestEndOfRest(
  const PickQuery& aQuery,
  const std::vector<const KnownTarget*>& aUsable,
  const PickContext& aContext,
  TimePoint aNow)
{
  std::optional<TimePoint> earliest;
  for (const KnownTarget* target : aUsable) {
    if (!mayServe(*target, aQuery, aContext)) {
      continue;
    }
    const TargetStats& stats = mStats[target->mEntry.mId];
    if (!stats.isResting(aNow)) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(stats.restsUntil()), stats.restsUntil());
  }
  return earliest;
}

void TargetPicker::forgetUnknown(const TargetTable& aTable, TimePoint aNow)
{
  std::erase_if(mStats, [&](const std::pair<const TargetId, TargetStats>& aEntry) {
    const bool unknown = aTable.find(aEntry.first) == nullptr && aEntry.second.inFlight() == 0 &&
                         !aEntry.second.isResting(aNow);
    if (unknown) {
      mColdRateLimiter.forget(aEntry.first);
      mRateLimiter.forget(aEntry.first);
    }
    return unknown;
  });
}

} // namespace bulrushrun
