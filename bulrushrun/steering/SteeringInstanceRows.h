#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: updates of its state from single rows and from targets' responses.

namespace bulrushrun {

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onOperatorRow(const StoreRow& aRow)
{
  if (const std::optional<ZoneName> zone = Adapter::parseEvacuatedZone(aRow.mKey)) {
    std::set<ZoneName> evacuated = mSteeringState.mContext.mEvacuated;
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
  std::set<ZoneName>& current = mSteeringState.mContext.mEvacuated;
  for (const ZoneName& zone : aZones) {
    if (!current.contains(zone)) {
      mHost.log(events::kZoneEvacuated, "zone=" + zone.text());
    }
  }
  for (const ZoneName& zone : current) {
    if (!aZones.contains(zone)) {
      mHost.log(events::kZoneRestored, "zone=" + zone.text());
      Duration coldStartDuration{ 0 };
      for (const ServicePolicy& policy :
           mSteeringState.mPlan ? mSteeringState.mPlan->mServices : std::vector<ServicePolicy>{}) {
        coldStartDuration = std::max(coldStartDuration, policy.mColdStartDuration);
      }
      // Targets without requests may have become cold.
      mSteeringState.mTargets.setZoneCold(zone, mHost.now() + coldStartDuration);
    }
  }
  current = std::move(aZones);
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
  if (mSteeringState.mPlan != nullptr && plan->mVersion <= mSteeringState.mPlan->mVersion) {
    return;
  }
  mHost.log(events::kPlanAdopted,
            "version=" + std::to_string(plan->mVersion.value()) +
              " routes=" + std::to_string(plan->mRoutes.size()) +
              " home_routes=" + std::to_string(plan->homeRouteCount()) +
              (plan->mCustomers
                 ? " customers=" + std::to_string(plan->mCustomers->customers().size()) +
                     " keys=" + std::to_string(plan->mCustomers->keyCount())
                 : ""));
  mSteeringState.mPlan = std::make_shared<const RoutePlan>(std::move(*plan));
  const std::optional<CustomerDirectory>& customers = mSteeringState.mPlan->mCustomers;
  mQuotaGate.setCustomers(customers ? &*customers : nullptr);
  if (mOnLimits) {
    mOnLimits(mSteeringState.mPlan->mLimits);
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
    if (mSteeringState.mTargets.remove(id, now)) {
      mHost.log(events::kTargetVanished, "target=" + id.text() + version);
    }
    return;
  }
  switch (mSteeringState.mTargets.update(*entry, now)) {
    case TargetTable::Change::Added:
    case TargetTable::Change::Restarted:
      mHost.log(events::kTargetAdded,
                "target=" + id.text() + " service=" + entry->mService.text() +
                  " address=" + entry->mEndpoint.text() + version);
      if (!mSteeringState.mContext.mZones.knows(entry->mZone)) {
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

/// A response concerns the incarnation at which the attempt started; the target may have started
/// again since.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTargetUpdate(const TargetAttempt& aAttempt)
{
  const TargetId& id = aAttempt.mTarget;
  TargetTable& targets = mSteeringState.mTargets;
  if (aAttempt.mMetadata.mLeaving && targets.setLeaving(id, aAttempt.mIncarnation)) {
    mHost.log(events::kTargetLeaving,
              "target=" + id.text() +
                " source=response incarnation=" + std::to_string(aAttempt.mIncarnation.value()));
    if (aAttempt.mIncarnation != Incarnation{}) {
      mLeavingNotices.add(id, aAttempt.mIncarnation, mHost.now());
      if (mGossip) {
        mGossip->disseminate();
      }
    }
  }
  const KnownTarget* target = targets.find(id);
  if (target == nullptr || target->mEntry.mIncarnation != aAttempt.mIncarnation) {
    return;
  }
  if (aAttempt.mMetadata.mMisdirected) {
    targets.setReplaced(id);
    mHost.log(events::kTargetReplaced, "target=" + id.text());
  }
  if (aAttempt.mMetadata.mColdRemaining) {
    targets.setCold(id, mHost.now() + *aAttempt.mMetadata.mColdRemaining);
  }
}

/// Notices of targets that are not registered count, too: their row may arrive later.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onLeavingNotice(const LeavingNotice& aNotice)
{
  if (!LeavingNoticeQueue::isAcceptable(aNotice) ||
      !mSteeringState.mTargets.setLeaving(aNotice.mTarget, aNotice.mIncarnation)) {
    return;
  }
  mHost.log(events::kTargetLeaving,
            "target=" + aNotice.mTarget.text() +
              " source=peer incarnation=" + std::to_string(aNotice.mIncarnation.value()) +
              " age_ms=" + std::to_string(toMillis(aNotice.mAge)));
  mLeavingNotices.add(aNotice.mTarget, aNotice.mIncarnation, mHost.now() - aNotice.mAge);
}

} // namespace bulrushrun
