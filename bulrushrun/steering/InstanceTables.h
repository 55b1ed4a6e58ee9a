#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: what the store's tables say.

namespace bulrushrun {

/// A change must be in force within the bound even when one call is lost on the way.
template<class HostType, class Adapter>
FollowerPace SteeringInstance<HostType, Adapter>::paceFor(const FleetBounds& aBounds)
{
  const Duration tightest = std::min(aBounds.mDrain, aBounds.mConfigurationApply);
  return { tightest / 2, tightest / 4 };
}

template<class HostType, class Adapter>
SteeringInstance<HostType, Adapter>::SteeringInstance(HostType& aHost,
                                                      const SteeringSettings& aSettings,
                                                      std::function<void(std::size_t)> aOnExit)
  : mHost(aHost)
  , mSettings(aSettings)
  , mCarrier(aHost, mView)
  , mOperatorTable(aHost,
                   aSettings.mStore,
                   Adapter::kOperatorTable,
                   paceFor(aSettings.mBounds),
                   operatorListener())
  , mTargetTable(aHost,
                 aSettings.mStore,
                 Adapter::kTargetTable,
                 paceFor(aSettings.mBounds),
                 targetListener())
  , mDrain(aHost, aSettings.mBounds.mGrace - kExitMargin, drainSteps(std::move(aOnExit)))
{
  mView.mContext.mZone = mSettings.mZone;
  mView.mContext.mRegions = mSettings.mRegions;
  setBounds(mSettings.mBounds);
  mCarrier.setOnTargetNews(
    [this](const TargetId& aTarget, const AnswerFacts& aFacts) { onTargetNews(aTarget, aFacts); });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setBounds(const FleetBounds& aBounds)
{
  mSettings.mBounds = aBounds;
  mView.mRetryBound = { aBounds.mRetryRatio, aBounds.mRetrySlack, aBounds.mRetryWindow };
  mView.mColdFactor = aBounds.mColdFactor;
  mView.mColdSlack = aBounds.mColdSlack;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::start()
{
  mHost.log(events::kInstanceStarted, "listen=" + mSettings.mListen.text());
  mOperatorTable.start();
  mTargetTable.start();
  registerSelf();
  sweep();
}

template<class HostType, class Adapter>
TableListener SteeringInstance<HostType, Adapter>::operatorListener()
{
  return { [this](const Table& aRows) { onOperatorTable(aRows); },
           [this](const Table& aRows) {
             for (const StoreRow& row : aRows) {
               onOperatorRow(row);
             }
           },
           [this](bool aAvailable, const std::string& aReason) {
             onAvailability("operator", aAvailable, aReason);
           } };
}

template<class HostType, class Adapter>
TableListener SteeringInstance<HostType, Adapter>::targetListener()
{
  return { [this](const Table& aRows) { onTargetTable(aRows); },
           [this](const Table& aRows) {
             for (const StoreRow& row : aRows) {
               onTargetRow(row);
             }
           },
           [this](bool aAvailable, const std::string& aReason) {
             onAvailability("targets", aAvailable, aReason);
           } };
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onAvailability(const char* aTable,
                                                         bool aAvailable,
                                                         const std::string& aReason)
{
  if (aAvailable) {
    mHost.log(events::kFeedRegained, std::string("table=") + aTable);
  } else {
    mHost.log(events::kFeedLost, std::string("table=") + aTable + " reason=\"" + aReason + "\"");
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onOperatorTable(const Table& aRows)
{
  std::set<ZoneName> evacuated;
  for (const StoreRow& row : aRows) {
    if (const std::optional<ZoneName> zone = Adapter::evacuatedZone(row.mKey)) {
      evacuated.insert(*zone);
    } else {
      onOperatorRow(row);
    }
  }
  setEvacuated(std::move(evacuated));
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onOperatorRow(const StoreRow& aRow)
{
  if (const std::optional<ZoneName> zone = Adapter::evacuatedZone(aRow.mKey)) {
    std::set<ZoneName> evacuated = mView.mContext.mEvacuated;
    if (aRow.mRemoved) {
      evacuated.erase(*zone);
    } else {
      evacuated.insert(*zone);
    }
    setEvacuated(std::move(evacuated));
  } else if (Adapter::isPlanKey(aRow.mKey) && !aRow.mRemoved) {
    onPlanText(aRow.mValue);
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
      for (const ServiceTerms& terms :
           mView.mPlan ? mView.mPlan->mServices : std::vector<ServiceTerms>{}) {
        span = std::max(span, terms.mColdSpan);
      }
      // Without work the targets may have become cold.
      mView.mTargets.setZoneCold(zone, mHost.now() + span);
    }
  }
  before = std::move(aZones);
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onPlanText(const std::string& aText)
{
  std::string reason;
  std::optional<RoutePlan> plan = Adapter::readPlan(aText, reason);
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
  joinPeers();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTargetTable(const Table& aRows)
{
  const TimePoint now = mHost.now();
  std::set<TargetId> listed;
  for (const StoreRow& row : aRows) {
    listed.insert(TargetId{ row.mKey });
    onTargetRow(row);
  }
  mView.mTargets.retain(listed, now);
  if (!std::exchange(mTargetsKnown, true)) {
    mView.mContext.mStarted = now;
  }
  joinPeers();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTargetRow(const StoreRow& aRow)
{
  const TimePoint now = mHost.now();
  const TargetId id{ aRow.mKey };
  const std::string version = " row_version=" + std::to_string(aRow.mVersion.value());
  std::string reason;
  const std::optional<TargetEntry> entry =
    aRow.mRemoved ? std::nullopt : Adapter::readTarget(aRow.mKey, aRow.mValue, reason);
  if (!entry) {
    if (!aRow.mRemoved && mReportedEntries.insert(aRow.mKey).second) {
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
      break;
    case TargetTable::Change::Draining:
      mHost.log(events::kTargetLeaving, "target=" + id.text() + version);
      break;
    default:
      break;
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onTargetNews(const TargetId& aTarget,
                                                       const AnswerFacts& aFacts)
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
