#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: the other instances, and whom to ask for news.

namespace bulrushrun {

template<class HostType, class Adapter>
GossipListener SteeringInstance<HostType, Adapter>::gossipListener()
{
  return { [this] { updateFleet(); },
           [](ConfigurationVersion, const Member&) {},
           [](const LeavingNotice&) {},
           [] { return std::vector<LeavingNotice>{}; } };
}

template<class HostType, class Adapter>
std::string SteeringInstance<HostType, Adapter>::ownRow() const
{
  return mSettings.mPeer.text() + " " + mSettings.mZone.text();
}

/// The version of the written row is this life's incarnation: the store's counter only rises.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::registerSelf()
{
  ++mRegistrationCalls;
  exchangeWhole(mHost,
                mSettings.mStore,
                Rows::writeRow(Adapter::kInstanceTable, mSettings.mInstance.text(), ownRow()),
                kWriteLimit,
                kMaxAnswerBytes,
                [this](ExchangeEnd aEnd, const HttpResponse& aResponse) {
                  const std::optional<RecordVersion> version =
                    aEnd == ExchangeEnd::Whole ? Rows::parseWritten(aResponse) : std::nullopt;
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
    mGossip->contact(peer);
  }
  mRegisteredAt = mHost.now();
  joinPeers();
  updateFleet();
  mHost.after(ColdAdmission::kWindow, [this] { updateFleet(); });
  mHost.after(kIntroductionSpan, [this] { updateFleet(); });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::readInstances(const std::string& aFrom)
{
  ++mRegistrationCalls;
  exchangeWhole(mHost,
                mSettings.mStore,
                Rows::readRows(Adapter::kInstanceTable, aFrom),
                kWriteLimit,
                kMaxAnswerBytes,
                [this, aFrom](ExchangeEnd aEnd, const HttpResponse& aResponse) {
                  const RowReadResult result =
                    aEnd == ExchangeEnd::Whole ? Rows::parseRows(aResponse) : RowReadResult{};
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
    mIntroduced = mIntroduced || self;
    mRowStands = mRowStands || (self && row.mValue == ownRow());
    if (row.mValue.substr(space) == " " + mSettings.mZone.text()) {
      mRegisteredInZone.insert(row.mKey);
    }
    if (peer && !self) {
      mStoredPeers.push_back(*peer);
    }
  }
  if (aBatch.mMore && !aBatch.mRows.empty()) {
    readInstances(keyBehind(aBatch.mRows.back()));
  } else if (mRowStands) {
    onRegistered(aBatch.mVersion);
  } else {
    registerSelf();
  }
}

/// Peers name this instance to callers as soon as they know it, so it joins them when it is ready.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::joinPeers()
{
  if (!isReady() || !mGossip || std::exchange(mReadyLogged, true)) {
    return;
  }
  mHost.log(events::kInstanceReady,
            "version=" + std::to_string(mView.mPlan->mVersion.value()) +
              " targets=" + std::to_string(mView.mTargets.size()));
  mGossip->start();
  updateFleet();
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
std::optional<Endpoint> SteeringInstance<HostType, Adapter>::choosePeer(bool aDisappointed)
{
  // The news address has the same port on every instance.
  const auto endpointOf = [this](std::uint32_t aAddress) {
    return Endpoint{ aAddress, mSettings.mNews.mPort };
  };
  const InstanceId& self = mSettings.mInstance;
  const bool asksRelay =
    !aDisappointed && mRoles.mRelay && mRoles.mRelay->mId != self && !mRoles.isReader(self);
  if (asksRelay) {
    return endpointOf(mRoles.mRelay->mListen.mAddress);
  }
  std::vector<Endpoint> others;
  for (const Member& reader : mRoles.mReaders) {
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
void SteeringInstance<HostType, Adapter>::updateFleet()
{
  const std::vector<Member> members = mGossip->table().all();
  // Members that are taken for dead may only be cut off, and still send.
  mView.mInstances = std::max<std::size_t>(members.size(), 1);
  mView.mContext.mColdShares = coldShares(members);
  NewsRoles roles = assignNewsRoles(members, mSettings.mRegions, mSettings.mZone);
  if (!namesSame(roles, mRoles)) {
    mNews.choosePeerAnew();
  }
  mRoles = std::move(roles);
}

template<class HostType, class Adapter>
ColdShares SteeringInstance<HostType, Adapter>::coldShares(
  const std::vector<Member>& aMembers) const
{
  const Duration since = mHost.now() - mRegisteredAt;
  // An earlier life of this instance may have sent its share in the last second.
  if (since < (mIntroduced ? ColdAdmission::kWindow : kIntroductionSpan)) {
    return {};
  }
  std::set<std::string> zone;
  if (since < kGossipSpan) {
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
