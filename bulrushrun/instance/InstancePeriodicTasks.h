#pragma once

#include "bulrushrun/instance/Instance.h"

/// \file
/// \brief Instance: start, periodic tasks, and updates of the fleet view.

namespace bulrushrun {

template<class HostType>
void Instance<HostType>::start()
{
  mHost.log(events::kInstanceStarted,
            "zone=" + mSettings.mZone.text() + " listen=" + mSettings.mListen.text());
  mForwarder.setOnPause([this] { onPause(); });
  mGossip.start();
  mConfiguration.start([this] { return isPoller(); });
  mHealth.start();
  sweep();
  pollInstanceList();
}

template<class HostType>
void Instance<HostType>::sweep()
{
  mForwarder.sweep();
  updateLeaving();
  pollUncheckedTargets();
  mHost.after(kSweepPeriod, [this] { sweep(); });
}

/// Rebuilds all that is derived from the configuration and the members: fleet view, lookup table,
/// rate limit of claim transactions.
template<class HostType>
void Instance<HostType>::rebuildFleetView()
{
  const ActiveConfiguration& active = mConfiguration.active();
  if (active.mDocument == nullptr) {
    return;
  }
  const std::vector<LiveInstance> live = liveInstances();
  const bool first = mView == nullptr;
  mView = std::make_shared<const FleetView>(active.mDocument, active.mVersion, live);
  mLookup = LookupTable{ *mView };
  const double instanceCount = static_cast<double>(std::max<std::size_t>(live.size(), 1));
  mForwarder.claims().batcher().setRate(kFleetTransactionsPerSecond / instanceCount);
  mForwarder.setView(mView);
  mHealth.checkNew();
  if (first) {
    mHost.log(events::kInstanceReady, "version=" + std::to_string(active.mVersion.value()));
  }
}

/// \returns the instances that may get requests: alive or suspected, and not leaving.
template<class HostType>
std::vector<LiveInstance> Instance<HostType>::liveInstances() const
{
  std::vector<LiveInstance> live;
  for (const Member& member : mGossip.table().all()) {
    const bool usable =
      member.mState == MemberState::Alive || member.mState == MemberState::Suspect;
    if (usable) {
      live.push_back({ member.mId, member.mZone, member.mListen });
    }
  }
  return live;
}

template<class HostType>
std::vector<TargetSpec> Instance<HostType>::ownedTargets(bool aUncheckedOnly) const
{
  std::vector<TargetSpec> owned;
  if (mView == nullptr) {
    return owned;
  }
  for (const Tenant& tenant : mView->mDocument->mTenants) {
    for (const Service& service : tenant.mServices) {
      const ServicePool* pool = mForwarder.pool({ tenant.mName, service.mName });
      if (pool == nullptr) {
        continue;
      }
      for (const auto& [id, target] : pool->targets()) {
        if (!aUncheckedOnly || !target.isHealthChecked()) {
          owned.push_back(target.spec());
        }
      }
    }
  }
  return owned;
}

/// Zone relays poll the store and the instance list on behalf of their zone.
template<class HostType>
bool Instance<HostType>::isPoller() const
{
  const std::vector<Member> relays = relaysOf(mGossip.table(), mSettings.mZone);
  return std::any_of(relays.begin(), relays.end(), [&](const Member& aRelay) {
    return aRelay.mId == mSettings.mInstance;
  });
}

template<class HostType>
void Instance<HostType>::pollInstanceList()
{
  if (isPoller() || !mGossip.hasReceivedMessages()) {
    requestInstanceList();
  }
  mHost.after(kInstanceListPeriod, [this] { pollInstanceList(); });
}

template<class HostType>
void Instance<HostType>::requestInstanceList()
{
  mHost.platform().listInstances(
    [this](const InstanceListResult& aResult) { onInstanceList(aResult); });
}

/// After a pause of the process, the instance list and the state of the peers may be outdated.
template<class HostType>
void Instance<HostType>::onPause()
{
  requestInstanceList();
  mGossip.disseminate();
}

/// Targets that wait for a first health check are polled at every sweep, more often than the
/// others.
template<class HostType>
void Instance<HostType>::pollUncheckedTargets()
{
  for (const TargetSpec& target : ownedTargets(true)) {
    mHealth.checkNow(target);
  }
}

/// The platform's list may be outdated. It is used only to find unknown peers and leaving targets.
template<class HostType>
void Instance<HostType>::onInstanceList(const InstanceListResult& aResult)
{
  if (aResult.mAnswered != mPlatformAvailable) {
    mPlatformAvailable = aResult.mAnswered;
    mHost.log(mPlatformAvailable ? events::kPlatformBack : events::kPlatformUnavailable, "");
  }
  if (!aResult.mAnswered) {
    return;
  }
  std::set<TargetId> leaving;
  for (const ListedInstance& listed : aResult.mInstances) {
    if (listed.mLeaving) {
      leaving.insert(TargetId{ listed.mPeer.text() });
    } else if (listed.mPeer != mSettings.mPeer && listed.mPeer.mPort == mSettings.mPeer.mPort) {
      mGossip.pingIfUnknown(listed.mPeer);
    }
  }
  mLeaving.setListed(std::move(leaving));
  updateLeaving();
}

template<class HostType>
void Instance<HostType>::onHealthCheck(const TargetId& aTarget, bool aLeaving)
{
  mLeaving.setHealthReport(aTarget, aLeaving, mHost.wallTime());
  updateLeaving();
  mForwarder.onTargetHealthChecked(aTarget);
}

template<class HostType>
void Instance<HostType>::updateLeaving()
{
  // New entries are disseminated at once: with the next probes alone it would take too long in a
  // large zone.
  if (mForwarder.setLeavingTargets(mLeaving.current(mHost.wallTime()))) {
    mGossip.disseminate();
  }
}

} // namespace bulrushrun
