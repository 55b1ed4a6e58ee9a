#include "bulrushrun/steering/TargetPicker.h"

#include "bulrushrun/routing/Rendezvous.h"

#include <algorithm>
#include <array>

namespace bulrushrun {

namespace {

bool isHome(const PickQuery& aQuery, const RegionName& aRegion)
{
  const std::vector<RegionName>& homes = aQuery.mHomeRegions;
  return homes.empty() || std::find(homes.begin(), homes.end(), aRegion) != homes.end();
}

bool isCold(const KnownTarget& aTarget, Duration aSpan, TimePoint aNow)
{
  const bool isNew = aTarget.mRegisteredAt && aNow - *aTarget.mRegisteredAt < aSpan;
  return isNew || aNow < aTarget.mColdUntil;
}

} // namespace

std::vector<TargetPicker::Candidate> TargetPicker::candidates(
  const PickQuery& aQuery,
  const std::vector<const KnownTarget*>& aUsable,
  const PickContext& aContext,
  TimePoint aNow)
{
  std::vector<Candidate> open;
  std::vector<Candidate> ejected;
  const double nearWeight = static_cast<double>(aContext.mZones.regionCount());
  for (const KnownTarget* target : aUsable) {
    const TargetEntry& entry = target->mEntry;
    if (aContext.mEvacuated.contains(entry.mZone) || aQuery.mTriedTargets.contains(entry.mId) ||
        !isHome(aQuery, aContext.mZones.regionOf(entry.mZone))) {
      continue;
    }
    const TargetStats& seen = mStats[entry.mId];
    Candidate candidate;
    candidate.mTarget = target;
    candidate.mLoad = seen.load(aNow);
    candidate.mDistance = aContext.mZones.distance(entry.mZone);
    if (aQuery.mAffinity == Affinity::Key) {
      const double weight = candidate.mDistance == Distance::OtherRegion ? 1 : nearWeight;
      candidate.mRank = rendezvousScore(aQuery.mAffinityKey, target->mHash, weight * entry.mSlots);
    } else {
      candidate.mRank = -candidate.mLoad / entry.mSlots;
    }
    const bool proving = seen.isOnProbation() && seen.inFlight() > 0;
    const bool avoided =
      seen.isEjected(aNow) || proving || seen.isUnresponsive(aQuery.mUnresponsiveAfter, aNow);
    (avoided ? ejected : open).push_back(candidate);
  }
  const double most = kMaxEjectedShare * static_cast<double>(open.size() + ejected.size());
  if (static_cast<double>(ejected.size()) > most) {
    open.insert(open.end(), ejected.begin(), ejected.end());
  }
  return open;
}

/// A zone's targets keep copies of as many of its callers' objects as their slots can carry, when
/// all zones ask alike: which ones, is the same for all its instances.
bool TargetPicker::keepsLocalReplica(const PickQuery& aQuery,
                                     const PickContext& aContext,
                                     const std::vector<Candidate>& aCandidates)
{
  double near = 0;
  double all = 0;
  for (const Candidate& candidate : aCandidates) {
    const int slots = candidate.mTarget->mEntry.mSlots;
    near += candidate.mDistance == Distance::SameZone ? slots : 0;
    all += slots;
  }
  constexpr std::uint64_t kSalt = 0x6e656172;
  return toUnitInterval(combineHashes(aQuery.mAffinityKey, kSalt)) * all <
         near * static_cast<double>(aContext.mZones.zoneCount());
}

TargetPicker::Preference TargetPicker::prefer(const PickQuery& aQuery,
                                              const PickContext& aContext,
                                              std::vector<Candidate> aCandidates)
{
  Preference preference;
  std::vector<Candidate>& order = preference.mOrder;
  order = std::move(aCandidates);
  const bool byObject = aQuery.mAffinity == Affinity::Key;
  std::sort(order.begin(), order.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
    if (!byObject && aLeft.mDistance != aRight.mDistance) {
      return aLeft.mDistance < aRight.mDistance;
    }
    return aLeft.mRank > aRight.mRank;
  });
  if (!byObject) {
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

bool TargetPicker::admitsCold(const KnownTarget& aTarget,
                              const PickQuery& aQuery,
                              const PickContext& aContext,
                              TimePoint aNow)
{
  if (!isCold(aTarget, aQuery.mColdStartDuration, aNow)) {
    return true;
  }
  return aTarget.mEntry.mZone == aContext.mZones.own() &&
         mCold.admit(
           aTarget.mEntry.mId, aTarget.mHash, aQuery.mColdBound, aContext.mColdTargetQuota, aNow);
}

PickResult TargetPicker::pick(const PickQuery& aQuery,
                              const std::vector<const KnownTarget*>& aUsable,
                              const PickContext& aContext,
                              TimePoint aNow)
{
  const Preference preference =
    prefer(aQuery, aContext, candidates(aQuery, aUsable, aContext, aNow));
  const std::vector<Candidate>& order = preference.mOrder;
  PickResult result;
  result.mUsable = order.size();
  if (order.empty()) {
    result.mFailure = PickFailure::NoTarget;
    return result;
  }
  const std::array<SelectionPass, 5> rounds{
    { { 0, preference.mLocalEnd, kFreeSlotLoadFactor },
      { preference.mLocalEnd, preference.mPrimariesEnd, kShortWaitLoadFactor },
      { preference.mPrimariesEnd, preference.mSecondariesEnd, kFreeSlotLoadFactor },
      { 0, preference.mPrimariesEnd, kMaxQueueLoadFactor },
      { preference.mPrimariesEnd, order.size(), kOverflowLoadFactor } }
  };
  for (const SelectionPass& round : rounds) {
    for (std::size_t i = round.mBegin; i < round.mEnd; ++i) {
      const KnownTarget& target = *order[i].mTarget;
      if (order[i].mLoad + 1 > round.mFactor * target.mEntry.mSlots) {
        continue;
      }
      if (admitsCold(target, aQuery, aContext, aNow)) {
        result.mTarget = &target;
        result.mLoad = order[i].mLoad;
        result.mPreferenceRank = i + 1;
        return result;
      }
      ++result.mColdLimited;
    }
  }
  result.mFailure = PickFailure::AllBusy;
  return result;
}

void TargetPicker::forgetUnknown(const TargetTable& aTable)
{
  std::erase_if(mStats, [&](const std::pair<const TargetId, TargetStats>& aEntry) {
    const bool unknown = aTable.find(aEntry.first) == nullptr && aEntry.second.inFlight() == 0;
    if (unknown) {
      mCold.forget(aEntry.first);
    }
    return unknown;
  });
}

} // namespace bulrushrun
