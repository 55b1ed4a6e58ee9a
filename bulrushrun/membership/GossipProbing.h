#pragma once

#include "bulrushrun/membership/Gossip.h"

#include <set>

/// \file
/// \brief Gossip: the rounds of probing.

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
    const bool live = member.mState != MemberState::Dead;
    const bool inZone = member.mZone == mSelf.mZone;
    if (live && member.mId != mSelf.mId && inZone == aOwnZone) {
      members.push_back(member);
    }
  }
  return members;
}

/// Probes the next member of the zone; each is probed once before any is probed again.
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
  const std::vector<Member> targets = relaysOf(mTable, zone);
  if (!targets.empty()) {
    probe(targets[mHost.random().below(targets.size())]);
  }
}

/// Pings a dead member now and then, so that two sides of a healed partition find each other.
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
    const Member& chosen = dead[mHost.random().below(dead.size())];
    mUpdates.add(chosen);
    sendPing(chosen.mPeer, ++mLastSequenceNumber, {});
  }
}

template<class HostType>
void Gossip<HostType>::probe(const Member& aMember)
{
  const std::uint64_t number = ++mLastSequenceNumber;
  mProbes[number] = { aMember.mId, aMember.mPeer, aMember.mZone != mSelf.mZone };
  sendPing(aMember.mPeer, number, {});
  mHost.after(kDirectProbeTimeout, [this, number] { onDirectProbeTimeout(number); });
  mHost.after(2 * kProbeInterval, [this, number] { onProbeTimeout(number); });
}

template<class HostType>
void Gossip<HostType>::onDirectProbeTimeout(std::uint64_t aNumber)
{
  const auto probe = mProbes.find(aNumber);
  if (probe == mProbes.end()) {
    return;
  }
  std::vector<Member> helpers = reachableMembers(true);
  std::erase_if(helpers,
                [&](const Member& aMember) { return aMember.mId == probe->second.mInstance; });
  for (std::size_t i = 0; i < kIndirectProbes && !helpers.empty(); ++i) {
    const std::size_t pick = mHost.random().below(helpers.size());
    GossipMessage request;
    request.mKind = GossipKind::PingRequest;
    request.mSequenceNumber = aNumber;
    request.mIndirectPeer = probe->second.mPeer;
    send(helpers[pick].mPeer, request);
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

template<class HostType>
void Gossip<HostType>::onProbeTimeout(std::uint64_t aNumber)
{
  const auto found = mProbes.find(aNumber);
  if (found == mProbes.end()) {
    return;
  }
  const Probe probe = found->second;
  mProbes.erase(found);
  suspect(probe.mInstance);
  const Member* member = mTable.find(probe.mInstance);
  if (probe.mOtherZone && member != nullptr) {
    probeMoreOfZone(member->mZone);
  }
}

/// A member of another zone did not answer: the whole zone may be gone, so more of it is asked.
template<class HostType>
void Gossip<HostType>::probeMoreOfZone(const ZoneName& aZone)
{
  std::vector<Member> members = reachableMembers(false);
  std::erase_if(members, [&](const Member& aMember) {
    return aMember.mZone != aZone || aMember.mState == MemberState::Suspect;
  });
  for (std::size_t i = 0; i < kZoneCheckProbes && !members.empty(); ++i) {
    const std::size_t pick = mHost.random().below(members.size());
    probe(members[pick]);
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

} // namespace bulrushrun
