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

RegionName regionOf(const PickContext& aContext, const ZoneName& aZone)
{
  const auto found = aContext.mRegions.find(aZone);
  return found == aContext.mRegions.end() ? RegionName{} : found->second;
}

int distance(const PickContext& aContext, const ZoneName& aZone)
{
  constexpr int kSameZone = 0;
  constexpr int kSameRegion = 1;
  constexpr int kOtherRegion = 2;
  if (aZone == aContext.mZone) {
    return kSameZone;
  }
  return regionOf(aContext, aZone) == regionOf(aContext, aContext.mZone) ? kSameRegion
                                                                         : kOtherRegion;
}

bool isCold(const KnownTarget& aTarget, const PickContext& aContext, TimePoint aNow)
{
  const bool isNew =
    aTarget.mFirstSeen > aContext.mStarted && aNow - aTarget.mFirstSeen < aContext.mColdSpan;
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
  for (const KnownTarget* target : aUsable) {
    const TargetEntry& entry = target->mEntry;
    if (aContext.mEvacuated.contains(entry.mZone) || aQuery.mTried.contains(entry.mId) ||
        !isHome(aQuery, regionOf(aContext, entry.mZone))) {
      continue;
    }
    const TargetStats& seen = mStats[entry.mId];
    Candidate candidate;
    candidate.mTarget = target;
    candidate.mLoad = seen.load(aNow);
    candidate.mDistance = distance(aContext, entry.mZone);
    if (aQuery.mAffinity == Affinity::Object) {
      candidate.mRank = rendezvousScore(aQuery.mObject, target->mHash, entry.mSlots);
    } else {
      candidate.mRank = -candidate.mLoad / entry.mSlots;
    }
    const bool proving = seen.isOnProbation() && seen.inFlight() > 0;
    (seen.isEjected(aNow) || proving ? ejected : open).push_back(candidate);
  }
  const double most = kMaxEjectedShare * static_cast<double>(open.size() + ejected.size());
  if (static_cast<double>(ejected.size()) > most) {
    open.insert(open.end(), ejected.begin(), ejected.end());
  }
  return open;
}

bool TargetPicker::admitsCold(const KnownTarget& aTarget,
                              const PickContext& aContext,
                              TimePoint aNow)
{
  if (!isCold(aTarget, aContext, aNow)) {
    return true;
  }
  return aTarget.mEntry.mZone == aContext.mZone &&
         mCold.admit(aTarget.mEntry.mId, aContext.mColdBound, aContext.mZoneInstances, aNow);
}

Pick TargetPicker::pick(const PickQuery& aQuery,
                        const std::vector<const KnownTarget*>& aUsable,
                        const PickContext& aContext,
                        TimePoint aNow)
{
  std::vector<Candidate> open = candidates(aQuery, aUsable, aContext, aNow);
  Pick result;
  result.mUsable = open.size();
  if (open.empty()) {
    result.mFailure = PickFailure::NoTarget;
    return result;
  }
  const bool zoneFirst = aQuery.mLargeAnswer || aQuery.mAffinity == Affinity::None;
  std::sort(open.begin(), open.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
    if (zoneFirst && aLeft.mDistance != aRight.mDistance) {
      return aLeft.mDistance < aRight.mDistance;
    }
    return aLeft.mRank > aRight.mRank;
  });
  const std::size_t spread =
    aQuery.mAffinity == Affinity::Object ? std::min(kSpread, open.size()) : open.size();
  const std::array<Round, 3> rounds{
    { { spread, kFullFactor }, { open.size(), kIdleFactor }, { spread, kQueueFactor } }
  };
  for (const Round& round : rounds) {
    for (std::size_t i = 0; i < round.mCandidates; ++i) {
      const KnownTarget& target = *open[i].mTarget;
      if (open[i].mLoad + 1 > round.mFactor * target.mEntry.mSlots) {
        continue;
      }
      if (admitsCold(target, aContext, aNow)) {
        result.mTarget = &target;
        result.mLoad = open[i].mLoad;
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
