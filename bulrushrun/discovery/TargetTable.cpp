#include "bulrushrun/discovery/TargetTable.h"

#include <utility>

namespace bulrushrun {

TargetTable::Change TargetTable::update(const TargetEntry& aEntry, TimePoint aNow)
{
  const auto found = mTargets.find(aEntry.mId);
  const bool known = found != mTargets.end();
  const bool restarted = known && found->second.mEntry.mIncarnation != aEntry.mIncarnation;
  if (known && !restarted && aEntry.mIncarnation < found->second.mEntry.mIncarnation) {
    return Change::Nothing;
  }
  const bool wasDraining = known && !restarted && found->second.mEntry.mDraining;
  if (known) {
    mByService[found->second.mEntry.mService].erase(aEntry.mId);
  }
  KnownTarget& target = mTargets[aEntry.mId];
  const bool addressChanged = known && (target.mEntry.mEndpoint != aEntry.mEndpoint);
  if (!known || restarted) {
    target = {};
    if (mComplete) {
      target.mRegisteredAt = aNow;
    }
    const auto previous = mPastIncarnations.find(aEntry.mId);
    if (previous != mPastIncarnations.end() &&
        previous->second.mIncarnation == aEntry.mIncarnation) {
      target.mRegisteredAt = previous->second.mRegisteredAt;
      target.mColdUntil = previous->second.mColdUntil;
    }
  }
  target.mEntry = aEntry;
  if (aEntry.mDraining) {
    mLeaving.add(aEntry.mId, aEntry.mIncarnation);
  }
  // A target that announced that it is leaving does not return in the same incarnation.
  target.mEntry.mDraining =
    aEntry.mDraining || wasDraining || mLeaving.contains(aEntry.mId, aEntry.mIncarnation);
  target.mHash = hashText(aEntry.mId.text());
  if (target.mEntry.mDraining) {
    rememberLeaving(target);
  } else {
    mLeavingZones.erase(target.mHash);
  }
  target.mVanishedAt.reset();
  target.mReplaced = target.mReplaced && !addressChanged;
  if (aEntry.mColdRemaining > Duration{ 0 }) {
    target.mColdUntil = std::max(target.mColdUntil, aNow + aEntry.mColdRemaining);
  }
  mByService[aEntry.mService].insert(aEntry.mId);
  if (!known) {
    return Change::Added;
  }
  if (restarted) {
    return Change::Restarted;
  }
  return target.mEntry.mDraining && !wasDraining ? Change::Draining : Change::Updated;
}

void TargetTable::drop(std::map<TargetId, KnownTarget>::iterator aTarget)
{
  const KnownTarget& target = aTarget->second;
  if (mPastIncarnations.size() >= kMaxPastIncarnations) {
    mPastIncarnations.clear();
  }
  // Without an incarnation, a later start cannot be distinguished from this one.
  if (target.mEntry.mIncarnation != Incarnation{}) {
    mPastIncarnations[aTarget->first] = { target.mEntry.mIncarnation,
                                          target.mRegisteredAt,
                                          target.mColdUntil };
  }
  mByService[target.mEntry.mService].erase(aTarget->first);
  mTargets.erase(aTarget);
}

bool TargetTable::remove(const TargetId& aId, TimePoint aNow)
{
  const auto found = mTargets.find(aId);
  if (found == mTargets.end() || found->second.mVanishedAt) {
    return false;
  }
  if (found->second.mEntry.mDraining || found->second.mReplaced) {
    drop(found);
  } else {
    found->second.mVanishedAt = aNow;
  }
  return true;
}

bool TargetTable::setLeaving(const TargetId& aId, Incarnation aIncarnation)
{
  const bool recorded = mLeaving.add(aId, aIncarnation);
  const auto found = mTargets.find(aId);
  const bool isRegistered =
    found != mTargets.end() && found->second.mEntry.mIncarnation == aIncarnation;
  if (!isRegistered) {
    return recorded;
  }
  rememberLeaving(found->second);
  return !std::exchange(found->second.mEntry.mDraining, true);
}

void TargetTable::rememberLeaving(const KnownTarget& aTarget)
{
  if (mLeavingZones.size() >= kMaxPastIncarnations) {
    mLeavingZones.clear();
  }
  mLeavingZones[aTarget.mHash] = aTarget.mEntry.mZone;
}

std::optional<ZoneName> TargetTable::zoneOfLeaving(std::uint64_t aHash) const
{
  const auto found = mLeavingZones.find(aHash);
  return found == mLeavingZones.end() ? std::nullopt : std::optional{ found->second };
}

void TargetTable::setReplaced(const TargetId& aId)
{
  const auto found = mTargets.find(aId);
  if (found != mTargets.end()) {
    found->second.mReplaced = true;
  }
}

void TargetTable::setCold(const TargetId& aId, TimePoint aUntil)
{
  const auto found = mTargets.find(aId);
  if (found != mTargets.end()) {
    found->second.mColdUntil = std::max(found->second.mColdUntil, aUntil);
  }
}

void TargetTable::setZoneCold(const ZoneName& aZone, TimePoint aUntil)
{
  for (auto target = mTargets.begin(); target != mTargets.end(); ++target) {
    if (target->second.mEntry.mZone == aZone) {
      target->second.mColdUntil = std::max(target->second.mColdUntil, aUntil);
    }
  }
}

void TargetTable::sweep(TimePoint aNow)
{
  for (auto target = mTargets.begin(); target != mTargets.end();) {
    const auto next = std::next(target);
    if (target->second.mVanishedAt && aNow - *target->second.mVanishedAt >= kVanishedGracePeriod) {
      drop(target);
    }
    target = next;
  }
}

const KnownTarget* TargetTable::find(const TargetId& aId) const
{
  const auto found = mTargets.find(aId);
  return found == mTargets.end() ? nullptr : &found->second;
}

std::vector<const KnownTarget*> TargetTable::usable(const ServiceName& aService,
                                                    TimePoint aNow) const
{
  std::vector<const KnownTarget*> listed;
  std::vector<const KnownTarget*> vanished;
  const auto service = mByService.find(aService);
  if (service == mByService.end()) {
    return listed;
  }
  for (const TargetId& id : service->second) {
    const KnownTarget& target = mTargets.at(id);
    if (target.mEntry.mDraining || target.mReplaced) {
      continue;
    }
    if (!target.mVanishedAt) {
      listed.push_back(&target);
    } else if (aNow - *target.mVanishedAt < kVanishedGracePeriod) {
      vanished.push_back(&target);
    }
  }
  if (vanished.size() > listed.size()) {
    listed.insert(listed.end(), vanished.begin(), vanished.end());
  }
  return listed;
}

} // namespace bulrushrun
