#pragma once

#include "bulrushrun/membership/Gossip.h"

#include <set>

/// \file
/// \brief Gossip: failure detection by periodic probes.

namespace bulrushrun {

template<class HostType>
void Gossip<HostType>::tick()
{
  ++mTicks;
  mTable.removeExpiredDead(mHost.now(), kDeadMemberRetention);
  contactSeeds();
  probeOwnZone();
  probeOtherZone();
  if (mTicks % kTicksPerDeadProbe == 0) {
    probeDead();
  }
  const Duration jitter{ static_cast<std::int64_t>(
    mHost.random().below(static_cast<std::uint64_t>(kProbeInterval.count()) / 10)) };
  mHost.after(kProbeInterval + jitter, [this] { tick(); });
}

template<class HostType>
void Gossip<HostType>::contactSeeds()
{
  if (mHasReceivedMessages) {
    return;
  }
  for (const Endpoint& seed : mSeeds) {
    if (seed != mSelf.mPeer) {
      sendPing(seed, ++mLastSequenceNumber, {});
    }
  }
}

template<class HostType>
std::vector<Member> Gossip<HostType>::reachableMembers(bool aOwnZone) const
{
  std::vector<Member> members;
  for (const Member& member : mTable.all()) {
    const bool isLive = member.mState != MemberState::Dead;
    const bool inZone = member.mZone == mSelf.mZone;
    if (isLive && member.mId != mSelf.mId && inZone == aOwnZone) {
      members.push_back(member);
    }
  }
  return members;
}

/// Probes the next member of the own zone; each is probed once before any is probed again.
template<class HostType>
void Gossip<HostType>::probeOwnZone()
{
  while (true) {
    if (mProbeOrder.empty()) {
      for (const Member& member : reachableMembers(true)) {
        mProbeOrder.push_back(member.mId);
      }
      for (std::size_t i = mProbeOrder.size(); i > 1; --i) {
        std::swap(mProbeOrder[i - 1], mProbeOrder[mHost.random().below(i)]);
      }
      if (mProbeOrder.empty()) {
        return;
      }
    }
    const Member* next = mTable.find(mProbeOrder.back());
    mProbeOrder.pop_back();
    if (next != nullptr && next->mState != MemberState::Dead) {
      probe(*next);
      return;
    }
  }
}

template<class HostType>
void Gossip<HostType>::probeOtherZone()
{
  const std::vector<Member> relays = relaysOf(mTable, mSelf.mZone);
  const bool isRelay = std::any_of(
    relays.begin(), relays.end(), [&](const Member& aRelay) { return aRelay.mId == mSelf.mId; });
  const std::vector<Member> others = reachableMembers(false);
  if (!isRelay || others.empty()) {
    return;
  }
  std::set<ZoneName> zones;
  for (const Member& member : others) {
    zones.insert(member.mZone);
  }
  const ZoneName zone =
    *std::next(zones.begin(), static_cast<std::ptrdiff_t>(mHost.random().below(zones.size())));
  const std::vector<Member> remoteRelays = relaysOf(mTable, zone);
  if (!remoteRelays.empty()) {
    probe(remoteRelays[mHost.random().below(remoteRelays.size())]);
  }
}

/// Pings a random dead member, so that the two sides of a network partition find each other again
/// after it has healed.
template<class HostType>
void Gossip<HostType>::probeDead()
{
  std::vector<Member> dead;
  for (const Member& member : mTable.all()) {
    if (member.mState == MemberState::Dead) {
      dead.push_back(member);
    }
  }
  if (!dead.empty()) {
    const Member& selected = dead[mHost.random().below(dead.size())];
    mUpdates.add(selected);
    sendPing(selected.mPeer, ++mLastSequenceNumber, {});
  }
}

template<class HostType>
void Gossip<HostType>::probe(const Member& aMember)
{
  const std::uint64_t sequenceNumber = ++mLastSequenceNumber;
  mProbes[sequenceNumber] = { aMember.mId, aMember.mPeer, aMember.mZone != mSelf.mZone };
  sendPing(aMember.mPeer, sequenceNumber, {});
  mHost.after(kDirectProbeTimeout,
              [this, sequenceNumber] { onDirectProbeTimeout(sequenceNumber); });
  mHost.after(2 * kProbeInterval, [this, sequenceNumber] { onProbeTimeout(sequenceNumber); });
}

template<class HostType>
void Gossip<HostType>::onDirectProbeTimeout(std::uint64_t aSequenceNumber)
{
  const auto probe = mProbes.find(aSequenceNumber);
  if (probe == mProbes.end()) {
    return;
  }
  std::vector<Member> helpers = reachableMembers(true);
  std::erase_if(helpers,
                [&](const Member& aMember) { return aMember.mId == probe->second.mInstance; });
  for (std::size_t i = 0; i < kIndirectProbes && !helpers.empty(); ++i) {
    const std::size_t index = mHost.random().below(helpers.size());
    GossipMessage request;
    request.mKind = GossipKind::PingRequest;
    request.mSequenceNumber = aSequenceNumber;
    request.mIndirectPeer = probe->second.mPeer;
    send(helpers[index].mPeer, request);
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

template<class HostType>
void Gossip<HostType>::onProbeTimeout(std::uint64_t aSequenceNumber)
{
  const auto found = mProbes.find(aSequenceNumber);
  if (found == mProbes.end()) {
    return;
  }
  const Probe probe = found->second;
  mProbes.erase(found);
  suspectMember(probe.mInstance);
  const Member* member = mTable.find(probe.mInstance);
  if (probe.mInOtherZone && member != nullptr) {
    probeMoreOfZone(member->mZone);
  }
}

/// Probes several members of a zone at once: one of them did not respond, so the whole zone may be
/// unreachable.
template<class HostType>
void Gossip<HostType>::probeMoreOfZone(const ZoneName& aZone)
{
  std::vector<Member> members = reachableMembers(false);
  std::erase_if(members, [&](const Member& aMember) {
    return aMember.mZone != aZone || aMember.mState == MemberState::Suspect;
  });
  for (std::size_t i = 0; i < kZoneCheckProbes && !members.empty(); ++i) {
    const std::size_t index = mHost.random().below(members.size());
    probe(members[index]);
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

} // namespace bulrushrun
