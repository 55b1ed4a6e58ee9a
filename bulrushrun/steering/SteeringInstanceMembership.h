#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: membership, and the choice of the peer to replicate from.

namespace bulrushrun {

template<class HostType, class Adapter>
GossipListener SteeringInstance<HostType, Adapter>::gossipListener()
{
  return { [this] { updateMembership(); },
           [](ConfigurationVersion, const Member&) {},
           [this](const LeavingNotice& aNotice) { onLeavingNotice(aNotice); },
           [this] { return mLeavingNotices.next(mHost.now()); },
           [this](std::string_view aPayload) {
             return mPlacementAnnouncer.receive(aPayload) || mLoadReports.receive(aPayload) ||
                    mTargetRates.receive(aPayload) || mQuotaGate.receive(aPayload);
           } };
}

template<class HostType, class Adapter>
std::string SteeringInstance<HostType, Adapter>::ownRegistration() const
{
  return mSettings.mPeer.text() + " " + mSettings.mZone.text();
}

/// The version of the written row becomes the incarnation, since the store's counter only rises.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::registerSelf()
{
  ++mRegistrationCalls;
  startBufferedExchange(mHost,
                        mSettings.mStore,
                        StoreProtocol::makeWriteRequest(
                          Adapter::kInstanceTable, mSettings.mInstance.text(), ownRegistration()),
                        kStoreCallTimeout,
                        kMaxResponseBytes,
                        [this](ExchangeResult aResult, const HttpResponse& aResponse) {
                          const std::optional<RecordVersion> version =
                            aResult == ExchangeResult::Complete
                              ? StoreProtocol::parseWriteResponse(aResponse)
                              : std::nullopt;
                          if (version) {
                            onRegistered(*version);
                          } else {
                            mHost.after(kStoreRetryDelay, [this] { registerSelf(); });
                          }
                        });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onRegistered(RecordVersion aVersion)
{
  constexpr double kThousandths = 1000;
  Member self{ mSettings.mInstance,
               mSettings.mZone,
               mSettings.mListen,
               mSettings.mPeer,
               Incarnation{ aVersion.value() },
               MemberState::Alive,
               ConfigurationVersion{},
               static_cast<std::uint32_t>(mSettings.mProcessorShare * kThousandths) };
  std::vector<Endpoint> seeds = mSettings.mSeeds;
  for (Endpoint& seed : seeds) {
    seed.mPort = mSettings.mPeer.mPort;
  }
  mGossip = std::make_unique<Gossip<HostType>>(
    mHost, std::move(self), std::move(seeds), mSettings.mPeerKeys, gossipListener());
  for (const Endpoint& peer : mStoredPeers) {
    mGossip->pingIfUnknown(peer);
  }
  mRegisteredAt = mHost.now();
  joinGossipWhenReady();
  updateMembership();
  mHost.after(ColdTargetRateLimiter::kWindow, [this] { updateMembership(); });
  for (const Duration delay : { Duration{ kNewInstanceDelay },
                                Duration{ kGossipSettleTime },
                                Duration{ kMaxAccrualDelay } }) {
    mHost.after(delay, [this] { updateMembership(); });
  }
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::readInstances(const std::string& aFrom)
{
  ++mRegistrationCalls;
  startBufferedExchange(mHost,
                        mSettings.mStore,
                        StoreProtocol::makeReadRequest(Adapter::kInstanceTable, aFrom),
                        kStoreCallTimeout,
                        kMaxResponseBytes,
                        [this, aFrom](ExchangeResult aResult, const HttpResponse& aResponse) {
                          const RowReadResult result =
                            aResult == ExchangeResult::Complete
                              ? StoreProtocol::parseReadResponse(aResponse)
                              : RowReadResult{};
                          if (result.mStatus == RowReadStatus::Ok) {
                            onInstances(result.mBatch);
                          } else {
                            mHost.after(kStoreRetryDelay, [this, aFrom] { readInstances(aFrom); });
                          }
                        });
}

/// Finds the peers, and the instances of this zone among which limits are divided, before gossip
/// knows them. Rows of instances that no longer run only make the quota smaller for a while. When
/// the row of the previous incarnation is still correct, it is not written again, and the store's
/// newest version becomes the incarnation.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onInstances(const RowBatch& aBatch)
{
  for (const StoreRow& row : aBatch.mRows) {
    if (mPlacementArchive.isSavedRow(row.mKey)) {
      mPlacementArchive.onSavedRow(row);
      continue;
    }
    const std::size_t space = std::min(row.mValue.find(' '), row.mValue.size());
    const std::optional<Endpoint> peer = parseEndpoint(row.mValue.substr(0, space));
    const bool self = row.mKey == mSettings.mInstance.text();
    mWasRegistered = mWasRegistered || self;
    mRegisteredInstances.insert(row.mKey);
    mRegistrationCurrent = mRegistrationCurrent || (self && row.mValue == ownRegistration());
    if (row.mValue.substr(space) == " " + mSettings.mZone.text()) {
      mRegisteredInZone.insert(row.mKey);
    }
    if (peer && !self) {
      mStoredPeers.push_back(*peer);
    }
  }
  if (aBatch.mHasMore && !aBatch.mRows.empty()) {
    readInstances(keyAfter(aBatch.mRows.back()));
    return;
  }
  mPlacementArchive.onSavedRowsRead();
  if (mRegistrationCurrent) {
    onRegistered(aBatch.mVersion);
  } else {
    registerSelf();
  }
}

/// Peers return this instance from lookups as soon as they know it, so it joins when it is ready.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::joinGossipWhenReady()
{
  if (!isReady() || !mGossip || std::exchange(mReadyLogged, true)) {
    return;
  }
  mHost.log(events::kInstanceReady,
            "version=" + std::to_string(mSteeringState.mPlan->mVersion.value()) +
              " targets=" + std::to_string(mSteeringState.mTargets.size()));
  mGossip->start();
  mPlacementAnnouncer.join(*mGossip);
  mPlacementArchive.join(*mGossip);
  mLoadReports.join(*mGossip);
  mTargetRates.join(*mGossip);
  updateMembership();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handleGossip(const std::string& aBytes)
{
  if (mGossip) {
    mGossip->receive(aBytes);
  }
}

/// The relay of each zone asks a store reader, and the other instances ask the relay, so that few
/// bytes cross zones. When the last peer failed, any other instance may be asked.
template<class HostType, class Adapter>
std::optional<Endpoint> SteeringInstance<HostType, Adapter>::chooseReplicationPeer(
  bool aLastPeerFailed)
{
  // The port of peer replication is the same on every instance.
  const auto endpointOf = [this](std::uint32_t aAddress) {
    return Endpoint{ aAddress, mSettings.mPeerReplication.mPort };
  };
  const InstanceId& self = mSettings.mInstance;
  const bool useZoneRelay = !aLastPeerFailed && mReplicationRoles.mZoneRelay &&
                            mReplicationRoles.mZoneRelay->mId != self &&
                            !mReplicationRoles.isStoreReader(self);
  if (useZoneRelay) {
    return endpointOf(mReplicationRoles.mZoneRelay->mListen.mAddress);
  }
  std::vector<Endpoint> choices;
  for (const Member& reader : mReplicationRoles.mStoreReaders) {
    if (reader.mId != self) {
      choices.push_back(endpointOf(reader.mListen.mAddress));
    }
  }
  const std::vector<Member> members = mGossip ? mGossip->table().all() : std::vector<Member>{};
  for (const Member& member : members) {
    if ((aLastPeerFailed || choices.empty()) && member.mId != self &&
        member.mState != MemberState::Dead) {
      choices.push_back(endpointOf(member.mListen.mAddress));
    }
  }
  for (const Endpoint& seed : mSettings.mSeeds) {
    if (members.size() <= 1 && seed.mAddress != mSettings.mPeer.mAddress) {
      choices.push_back(endpointOf(seed.mAddress));
    }
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[mHost.random().below(choices.size())];
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::updateMembership()
{
  const std::vector<Member> members = mGossip->table().all();
  // Members considered dead may only be partitioned, and still make attempts.
  mSteeringState.mInstanceCount = std::max<std::size_t>(members.size(), 1);
  mSteeringState.mContext.mColdTargetQuota = coldTargetQuota(members);
  mSteeringState.mContext.mFleetQuota = fleetQuota(members);
  mQuotaGate.setMembers(
    *mGossip, mSteeringState.mContext.mFleetQuota.instances(), quotaAccruesFrom(members));
  ReplicationRoles roles = assignReplicationRoles(members, mSettings.mRegions, mSettings.mZone);
  if (!sameAssignment(roles, mReplicationRoles)) {
    mPeerReplication.resetPeer();
  }
  mReplicationRoles = std::move(roles);
}

template<class HostType, class Adapter>
TargetQuota SteeringInstance<HostType, Adapter>::coldTargetQuota(
  const std::vector<Member>& aMembers) const
{
  const Duration registeredFor = mHost.now() - mRegisteredAt;
  // The previous incarnation may have used its quota in the last second.
  if (registeredFor < (mWasRegistered ? ColdTargetRateLimiter::kWindow : kNewInstanceDelay)) {
    return {};
  }
  std::set<std::string> instancesInZone;
  if (registeredFor < kGossipSettleTime) {
    instancesInZone = mRegisteredInZone;
  }
  for (const Member& member : aMembers) {
    if (member.mZone == mSettings.mZone) {
      instancesInZone.insert(member.mId.text());
    }
  }
  return quotaAmong(instancesInZone);
}

/// \returns when this instance begins to accrue tokens of quotas. The other instances leave a new
/// one its part as soon as they know it, and those that are cut off do not know it.
template<class HostType, class Adapter>
TimePoint SteeringInstance<HostType, Adapter>::quotaAccruesFrom(const std::vector<Member>& aMembers)
{
  const Duration registeredFor = mHost.now() - mRegisteredAt;
  std::size_t seen = 0;
  for (const Member& member : aMembers) {
    const bool isRegistered = mRegisteredInstances.contains(member.mId.text());
    seen += isRegistered && member.mState != MemberState::Dead ? 1 : 0;
  }
  const bool seesAll = seen == mRegisteredInstances.size();
  const bool isKnown = mWasRegistered || registeredFor >= kMaxAccrualDelay ||
                       (seesAll && registeredFor >= kNewInstanceDelay);
  if (isKnown && !mQuotaAccruesFrom) {
    mQuotaAccruesFrom = mHost.now();
  }
  return mQuotaAccruesFrom.value_or(TimePoint::max());
}

/// Instances considered dead count, too: they may only be partitioned, and still send.
template<class HostType, class Adapter>
TargetQuota SteeringInstance<HostType, Adapter>::fleetQuota(
  const std::vector<Member>& aMembers) const
{
  std::set<std::string> instances;
  if (mHost.now() - mRegisteredAt < kGossipSettleTime) {
    instances = mRegisteredInstances;
  }
  for (const Member& member : aMembers) {
    instances.insert(member.mId.text());
  }
  return quotaAmong(instances);
}

template<class HostType, class Adapter>
TargetQuota SteeringInstance<HostType, Adapter>::quotaAmong(
  const std::set<std::string>& aInstances) const
{
  std::vector<std::uint64_t> hashes;
  hashes.reserve(aInstances.size());
  for (const std::string& instance : aInstances) {
    hashes.push_back(hashText(instance));
  }
  return { hashText(mSettings.mInstance.text()), std::move(hashes) };
}

} // namespace bulrushrun
