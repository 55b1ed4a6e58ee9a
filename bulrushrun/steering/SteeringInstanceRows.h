#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: what single rows, and answers of targets, change in what is believed.

namespace bulrushrun {

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onOperatorRow(const StoreRow& aRow)
{
  if (const std::optional<ZoneName> zone = Adapter::parseEvacuatedZone(aRow.mKey)) {
    std::set<ZoneName> evacuated = mView.mContext.mEvacuated;
    if (aRow.mRemoved) {
      evacuated.erase(*zone);
    } else {
      evacuated.insert(*zone);
    }
    setEvacuated(std::move(evacuated));
  } else if (Adapter::isRoutePlanKey(aRow.mKey) && !aRow.mRemoved) {
    applyPlanText(aRow.mValue);
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setEvacuated(std::set<ZoneName> aZones)
{
  std::set<ZoneName>& before = mView.mContext.mEvacuated;
  for (const ZoneName& zone : aZones) {
    if (!before.contains(zone)) {
      mHost.log(events::kZoneEvacuated, "zone=" + zone.text());
    }
  }
  for (const ZoneName& zone : before) {
    if (!aZones.contains(zone)) {
      mHost.log(events::kZoneRestored, "zone=" + zone.text());
      Duration span{ 0 };
      for (const ServicePolicy& servicePolicy :
           mView.mPlan ? mView.mPlan->mServices : std::vector<ServicePolicy>{}) {
        span = std::max(span, servicePolicy.mColdStartDuration);
      }
      // Without work the targets may have become cold.
      mView.mTargets.setZoneCold(zone, mHost.now() + span);
    }
  }
  before = std::move(aZones);
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::applyPlanText(const std::string& aText)
{
  std::string reason;
  std::optional<RoutePlan> plan = Adapter::parseRoutePlan(aText, reason);
  if (!plan) {
    mHost.log(events::kPlanRefused, "reason=\"" + reason + "\"");
    return;
  }
  if (mView.mPlan != nullptr && plan->mVersion <= mView.mPlan->mVersion) {
    return;
  }
  mHost.log(events::kPlanAdopted,
            "version=" + std::to_string(plan->mVersion.value()) +
              " routes=" + std::to_string(plan->mRoutes.size()));
  mView.mPlan = std::make_shared<const RoutePlan>(std::move(*plan));
  if (mOnLimits) {
    mOnLimits(mView.mPlan->mLimits);
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTargetRow(const StoreRow& aRow)
{
  const TimePoint now = mHost.now();
  const TargetId id{ aRow.mKey };
  const std::string version = " row_version=" + std::to_string(aRow.mVersion.value());
  std::string reason;
  const std::optional<TargetEntry> entry =
    aRow.mRemoved ? std::nullopt : Adapter::parseTargetEntry(aRow.mKey, aRow.mValue, reason);
  if (!entry) {
    if (!aRow.mRemoved && mReportedInvalidEntries.insert(aRow.mKey).second) {
      mHost.log(events::kTargetEntryRefused, "target=" + id.text() + " reason=\"" + reason + "\"");
    }
    if (mView.mTargets.remove(id, now)) {
      mHost.log(events::kTargetVanished, "target=" + id.text() + version);
    }
    return;
  }
  switch (mView.mTargets.update(*entry, now)) {
    case TargetTable::Change::Added:
    case TargetTable::Change::Restarted:
      mHost.log(events::kTargetAdded,
                "target=" + id.text() + " service=" + entry->mService.text() +
                  " address=" + entry->mEndpoint.text() + version);
      if (!mView.mContext.mZones.knows(entry->mZone)) {
        mHost.log(events::kTargetZoneUnknown,
                  "target=" + id.text() + " zone=" + entry->mZone.text());
      }
      break;
    case TargetTable::Change::Draining:
      mHost.log(events::kTargetLeaving, "target=" + id.text() + version);
      break;
    default:
      break;
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTargetUpdate(const TargetId& aTarget,
                                                         const ResponseMetadata& aFacts)
{
  if (aFacts.mMisdirected) {
    mView.mTargets.setReplaced(aTarget);
    mHost.log(events::kTargetReplaced, "target=" + aTarget.text());
  }
  if (aFacts.mColdRemaining) {
    mView.mTargets.setCold(aTarget, mHost.now() + *aFacts.mColdRemaining);
  }
}

} // namespace bulrushrun
