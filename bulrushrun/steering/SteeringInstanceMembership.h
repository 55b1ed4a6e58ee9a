#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: the other instances, and whom to ask for news.

namespace bulrushrun {

template<class HostType, class Adapter>
GossipListener SteeringInstance<HostType, Adapter>::gossipListener()
{
  return { [this] { updateMembership(); },
           [](ConfigurationVersion, const Member&) {},
           [](const LeavingNotice&) {},
           [] { return std::vector<LeavingNotice>{}; } };
}

template<class HostType, class Adapter>
std::string SteeringInstance<HostType, Adapter>::ownRegistration() const
{
  return mSettings.mPeer.text() + " " + mSettings.mZone.text();
}

/// The version of the written row is this life's incarnation: the store's counter only rises.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::registerSelf()
{
  ++mRegistrationCalls;
  startBufferedExchange(mHost,
                        mSettings.mStore,
                        StoreProtocol::makeWriteRequest(
                          Adapter::kInstanceTable, mSettings.mInstance.text(), ownRegistration()),
                        kWriteLimit,
                        kMaxAnswerBytes,
                        [this](ExchangeResult aEnd, const HttpResponse& aResponse) {
                          const std::optional<RecordVersion> version =
                            aEnd == ExchangeResult::Complete
                              ? StoreProtocol::parseWriteResponse(aResponse)
                              : std::nullopt;
                          if (version) {
                            onRegistered(*version);
                          } else {
                            mHost.after(kWritePause, [this] { registerSelf(); });
                          }
                        });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onRegistered(RecordVersion aVersion)
{
  Member self{ mSettings.mInstance,
               mSettings.mZone,
               mSettings.mListen,
               mSettings.mPeer,
               Incarnation{ aVersion.value() },
               MemberState::Alive,
               ConfigurationVersion{} };
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
  mHost.after(kNewInstanceDelay, [this] { updateMembership(); });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::readInstances(const std::string& aFrom)
{
  ++mRegistrationCalls;
  startBufferedExchange(mHost,
                        mSettings.mStore,
                        StoreProtocol::makeReadRequest(Adapter::kInstanceTable, aFrom),
                        kWriteLimit,
                        kMaxAnswerBytes,
                        [this, aFrom](ExchangeResult aEnd, const HttpResponse& aResponse) {
                          const RowReadResult result =
                            aEnd == ExchangeResult::Complete
                              ? StoreProtocol::parseReadResponse(aResponse)
                              : RowReadResult{};
                          if (result.mStatus == RowReadStatus::Ok) {
                            onInstances(result.mBatch);
                          } else {
                            mHost.after(kWritePause, [this, aFrom] { readInstances(aFrom); });
                          }
                        });
}

/// Finds the peers, and learns with how many instances of its zone this one shares bounds before
/// gossip tells it. Rows of instances that are gone only make its share smaller for a while. When
/// the row of an earlier life still holds, the store's newest version is the incarnation.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onInstances(const RowBatch& aBatch)
{
  for (const StoreRow& row : aBatch.mRows) {
    const std::size_t space = std::min(row.mValue.find(' '), row.mValue.size());
    const std::optional<Endpoint> peer = parseEndpoint(row.mValue.substr(0, space));
    const bool self = row.mKey == mSettings.mInstance.text();
    mWasRegistered = mWasRegistered || self;
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
  } else if (mRegistrationCurrent) {
    onRegistered(aBatch.mVersion);
  } else {
    registerSelf();
  }
}

/// Peers name this instance to callers as soon as they know it, so it joins them when it is ready.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::joinGossipWhenReady()
{
  if (!isReady() || !mGossip || std::exchange(mReadyLogged, true)) {
    return;
  }
  mHost.log(events::kInstanceReady,
            "version=" + std::to_string(mView.mPlan->mVersion.value()) +
              " targets=" + std::to_string(mView.mTargets.size()));
  mGossip->start();
  updateMembership();
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::handlePeer(const std::string& aBytes)
{
  if (mGossip) {
    mGossip->receive(aBytes);
  }
}

/// One instance of each zone asks a reader, the others ask it, so that few bytes cross zones. When
/// that one is of no use, any other may be.
template<class HostType, class Adapter>
std::optional<Endpoint> SteeringInstance<HostType, Adapter>::chooseReplicationPeer(
  bool aDisappointed)
{
  // The news address has the same port on every instance.
  const auto endpointOf = [this](std::uint32_t aAddress) {
    return Endpoint{ aAddress, mSettings.mPeerReplication.mPort };
  };
  const InstanceId& self = mSettings.mInstance;
  const bool asksRelay = !aDisappointed && mReplicationRoles.mZoneRelay &&
                         mReplicationRoles.mZoneRelay->mId != self &&
                         !mReplicationRoles.isStoreReader(self);
  if (asksRelay) {
    return endpointOf(mReplicationRoles.mZoneRelay->mListen.mAddress);
  }
  std::vector<Endpoint> others;
  for (const Member& reader : mReplicationRoles.mStoreReaders) {
    if (reader.mId != self) {
      others.push_back(endpointOf(reader.mListen.mAddress));
    }
  }
  const std::vector<Member> members = mGossip ? mGossip->table().all() : std::vector<Member>{};
  for (const Member& member : members) {
    if ((aDisappointed || others.empty()) && member.mId != self &&
        member.mState != MemberState::Dead) {
      others.push_back(endpointOf(member.mListen.mAddress));
    }
  }
  for (const Endpoint& seed : mSettings.mSeeds) {
    if (members.size() <= 1 && seed.mAddress != mSettings.mPeer.mAddress) {
      others.push_back(endpointOf(seed.mAddress));
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  return others[mHost.random().below(others.size())];
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::updateMembership()
{
  const std::vector<Member> members = mGossip->table().all();
  // Members that are taken for dead may only be cut off, and still send.
  mView.mInstanceCount = std::max<std::size_t>(members.size(), 1);
  mView.mContext.mColdTargetQuota = coldTargetQuota(members);
  ReplicationRoles roles = assignReplicationRoles(members, mSettings.mRegions, mSettings.mZone);
  if (!sameAssignment(roles, mReplicationRoles)) {
    mPeerReplication.resetPeer();
  }
  mReplicationRoles = std::move(roles);
}

template<class HostType, class Adapter>
ColdTargetQuota SteeringInstance<HostType, Adapter>::coldTargetQuota(
  const std::vector<Member>& aMembers) const
{
  const Duration since = mHost.now() - mRegisteredAt;
  // An earlier life of this instance may have sent its share in the last second.
  if (since < (mWasRegistered ? ColdTargetRateLimiter::kWindow : kNewInstanceDelay)) {
    return {};
  }
  std::set<std::string> zone;
  if (since < kGossipSettleTime) {
    zone = mRegisteredInZone;
  }
  for (const Member& member : aMembers) {
    if (member.mZone == mSettings.mZone) {
      zone.insert(member.mId.text());
    }
  }
  std::vector<std::uint64_t> hashes;
  hashes.reserve(zone.size());
  for (const std::string& instance : zone) {
    hashes.push_back(hashText(instance));
  }
  return { hashText(mSettings.mInstance.text()), std::move(hashes) };
}

} // namespace bulrushrun
