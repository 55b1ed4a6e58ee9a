#include "bulrushrun/placement/PlacementTable.h"

namespace bulrushrun {

std::optional<Placement> PlacementTable::find(ObjectKey aObject) const
{
  const auto found = mEntries.find(aObject.value());
  return found == mEntries.end() ? std::nullopt : std::optional{ found->second.mPlacement };
}

std::optional<Placement> PlacementTable::place(ObjectKey aObject,
                                               TargetHash aTarget,
                                               TimePoint aNow)
{
  if (!mComplete) {
    return std::nullopt;
  }
  const std::optional<Placement> known = find(aObject);
  const PlacementGeneration generation =
    known ? known->mGeneration.next() : PlacementGeneration{ 1 };
  const Placement placement{ aObject, aTarget, generation };
  return set(placement, aNow) ? std::optional{ placement } : std::nullopt;
}

std::optional<Placement> PlacementTable::renew(ObjectKey aObject, TimePoint aNow)
{
  const auto found = mEntries.find(aObject.value());
  if (found == mEntries.end() || aNow - found->second.mUsedAt < kRenewalAge) {
    return std::nullopt;
  }
  found->second.mUsedAt = aNow;
  return found->second.mPlacement;
}

void PlacementTable::merge(const Placement& aPlacement, TimePoint aNow)
{
  const auto found = mEntries.find(aPlacement.mObject.value());
  if (found != mEntries.end() && !aPlacement.supersedes(found->second.mPlacement)) {
    found->second.mUsedAt = aNow;
    return;
  }
  set(aPlacement, aNow);
}

void PlacementTable::merge(const std::vector<Placement>& aPlacements, TimePoint aNow)
{
  for (const Placement& placement : aPlacements) {
    merge(placement, aNow);
  }
}

void PlacementTable::sweep(TimePoint aNow)
{
  std::erase_if(mEntries, [&](const std::pair<const std::uint64_t, Entry>& aEntry) {
    const bool idle = aNow - aEntry.second.mUsedAt >= kIdleTimeout;
    if (idle) {
      uncount(aEntry.second.mPlacement.mTarget);
      ++mChanges[partOf(aEntry.second.mPlacement.mObject)];
    }
    return idle;
  });
}

std::size_t PlacementTable::objectsAt(TargetHash aTarget) const
{
  const auto found = mObjectsAt.find(aTarget.value());
  return found == mObjectsAt.end() ? 0 : found->second;
}

std::vector<Placement> PlacementTable::all() const
{
  std::vector<Placement> placements;
  placements.reserve(mEntries.size());
  for (const auto& [key, entry] : mEntries) {
    placements.push_back(entry.mPlacement);
  }
  return placements;
}

std::vector<Placement> PlacementTable::part(std::size_t aPart) const
{
  std::vector<Placement> placements;
  for (const auto& [key, entry] : mEntries) {
    if (partOf(entry.mPlacement.mObject) == aPart) {
      placements.push_back(entry.mPlacement);
    }
  }
  return placements;
}

bool PlacementTable::set(const Placement& aPlacement, TimePoint aNow)
{
  const auto found = mEntries.find(aPlacement.mObject.value());
  if (found != mEntries.end()) {
    uncount(found->second.mPlacement.mTarget);
    found->second = { aPlacement, aNow };
  } else if (mEntries.size() < kMaxPlacements) {
    mEntries.emplace(aPlacement.mObject.value(), Entry{ aPlacement, aNow });
  } else {
    return false;
  }
  ++mObjectsAt[aPlacement.mTarget.value()];
  ++mChanges[partOf(aPlacement.mObject)];
  return true;
}

void PlacementTable::uncount(TargetHash aTarget)
{
  const auto count = mObjectsAt.find(aTarget.value());
  if (--count->second == 0) {
    mObjectsAt.erase(count);
  }
}

} // namespace bulrushrun
