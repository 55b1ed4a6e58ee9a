#pragma once

#include "bulrushrun/membership/Gossip.h"

/// \file
/// \brief Gossip: sending and receiving messages, and the updates of the member table.

namespace bulrushrun {

template<class HostType>
void Gossip<HostType>::send(const Endpoint& aPeer, GossipMessage aMessage)
{
  constexpr std::size_t kMaxUpdates = 8;
  aMessage.mSender = mSelf;
  aMessage.mDigest = mTable.digest();
  if (aMessage.mKind != GossipKind::Sync) {
    aMessage.mUpdates = mUpdates.take(kMaxUpdates, mTable.size());
    aMessage.mNotices = mListener.mNotices();
  }
  const std::string bytes = mAuthenticator.sign(encodeGossip(aMessage));
  mBytesSent += bytes.size();
  mHost.sendToPeer(aPeer, bytes);
}

template<class HostType>
void Gossip<HostType>::sendPayload(const Endpoint& aPeer, const std::string& aPayload)
{
  const std::string bytes = mAuthenticator.sign(aPayload);
  mBytesSent += bytes.size();
  mHost.sendToPeer(aPeer, bytes);
}

template<class HostType>
void Gossip<HostType>::sendPing(const Endpoint& aPeer,
                                std::uint64_t aSequenceNumber,
                                const Endpoint& aIndirectPeer)
{
  GossipMessage ping;
  ping.mKind = GossipKind::Ping;
  ping.mSequenceNumber = aSequenceNumber;
  ping.mIndirectPeer = aIndirectPeer;
  send(aPeer, std::move(ping));
}

template<class HostType>
void Gossip<HostType>::receive(const std::string& aBytes)
{
  const std::optional<std::string> payload = mAuthenticator.verify(aBytes);
  const std::optional<GossipMessage> message =
    payload ? decodeGossip(*payload) : std::optional<GossipMessage>{};
  if (!message && payload && mListener.mOnOtherPayload(*payload)) {
    return;
  }
  if (!message) {
    ++mDroppedMessages;
    mHost.log(events::kMessageDropped,
              std::string("reason=") + (payload ? "malformed" : mAuthenticator.rejectionReason()));
    return;
  }
  mHasReceivedMessages = true;
  applyUpdate(message->mSender);
  for (const Member& update : message->mUpdates) {
    applyUpdate(update);
  }
  for (const LeavingNotice& notice : message->mNotices) {
    mListener.mOnLeavingNotice(notice);
  }
  switch (message->mKind) {
    case GossipKind::Ping:
      onPing(*message);
      break;
    case GossipKind::Ack:
      onAck(*message);
      break;
    case GossipKind::PingRequest:
      sendPing(message->mIndirectPeer, message->mSequenceNumber, message->mSender.mPeer);
      break;
    case GossipKind::Sync:
      if (message->mWantsReply) {
        sendSync(message->mSender.mPeer, false);
      }
      return;
  }
  onDigest(*message);
}

/// Sends the Ack to the peer that requested the probe: the sender, or the origin of an indirect
/// one.
template<class HostType>
void Gossip<HostType>::onPing(const GossipMessage& aMessage)
{
  GossipMessage ack;
  ack.mKind = GossipKind::Ack;
  ack.mSequenceNumber = aMessage.mSequenceNumber;
  const bool indirect = aMessage.mIndirectPeer != Endpoint{};
  send(indirect ? aMessage.mIndirectPeer : aMessage.mSender.mPeer, std::move(ack));
}

template<class HostType>
void Gossip<HostType>::onAck(const GossipMessage& aMessage)
{
  const auto probe = mProbes.find(aMessage.mSequenceNumber);
  if (probe != mProbes.end() && probe->second.mInstance == aMessage.mSender.mId) {
    mProbes.erase(probe);
  }
}

template<class HostType>
Duration Gossip<HostType>::syncInterval() const
{
  const std::size_t bytes = mTable.size() * kBytesPerMember;
  const Duration interval = fromSeconds(static_cast<double>(bytes) / kMaxSyncBytesPerSecond);
  return std::max(kMinSyncInterval, interval);
}

template<class HostType>
void Gossip<HostType>::onDigest(const GossipMessage& aMessage)
{
  const TimePoint now = mHost.now();
  const bool noQueuedUpdates = mUpdates.size() == 0 || mTable.size() <= 2;
  if (aMessage.mDigest == mTable.digest() || !noQueuedUpdates ||
      now - mLastSyncAt < syncInterval()) {
    return;
  }
  mLastSyncAt = now;
  sendSync(aMessage.mSender.mPeer, true);
}

template<class HostType>
void Gossip<HostType>::sendSync(const Endpoint& aPeer, bool aWantsReply)
{
  const std::vector<Member> all = mTable.all();
  for (std::size_t first = 0; first < all.size(); first += kMembersPerSyncMessage) {
    const std::size_t last = std::min(first + kMembersPerSyncMessage, all.size());
    GossipMessage sync;
    sync.mKind = GossipKind::Sync;
    sync.mWantsReply = aWantsReply && last == all.size();
    sync.mUpdates.assign(all.begin() + static_cast<std::ptrdiff_t>(first),
                         all.begin() + static_cast<std::ptrdiff_t>(last));
    send(aPeer, std::move(sync));
  }
}

template<class HostType>
void Gossip<HostType>::applyUpdate(const Member& aMember)
{
  if (aMember.mId == mSelf.mId) {
    refuteIfWrong(aMember);
    return;
  }
  const Member* known = mTable.find(aMember.mId);
  if (known == nullptr && aMember.mState == MemberState::Dead) {
    return;
  }
  const MemberState oldState = known == nullptr ? MemberState::Alive : known->mState;
  const MemberTable::Change change = mTable.merge(aMember, mHost.now());
  if (change == MemberTable::Change::State) {
    onStateChange(aMember, oldState);
  }
  if (aMember.mState != MemberState::Dead) {
    mListener.mOnConfigurationVersion(aMember.mVersion, aMember);
  }
}

/// Refutes a wrong report about this instance by raising its incarnation.
template<class HostType>
void Gossip<HostType>::refuteIfWrong(const Member& aMember)
{
  const bool isWrong = aMember.mIncarnation >= mSelf.mIncarnation &&
                       aMember.mState != mSelf.mState && aMember.mState != MemberState::Alive;
  if (isWrong) {
    mSelf.mIncarnation = aMember.mIncarnation.next();
    announceSelf();
  }
}

template<class HostType>
void Gossip<HostType>::onStateChange(const Member& aMember, MemberState aOldState)
{
  mUpdates.add(aMember);
  const std::string text = "member=" + aMember.mId.text() + " zone=" + aMember.mZone.text();
  switch (aMember.mState) {
    case MemberState::Alive:
      mHost.log(events::kMemberJoined, text);
      break;
    case MemberState::Suspect:
      mHost.log(events::kMemberSuspected, text);
      mHost.after(kSuspicionTimeout, [this, id = aMember.mId, incarnation = aMember.mIncarnation] {
        onSuspicionTimeout(id, incarnation);
      });
      return;
    case MemberState::Leaving:
      mHost.log(events::kMemberLeaving, text);
      break;
    case MemberState::Dead:
      mHost.log(aOldState == MemberState::Leaving ? events::kMemberLeft : events::kMemberDead,
                text);
      break;
  }
  mListener.mOnMembershipChange();
}

template<class HostType>
void Gossip<HostType>::suspectMember(const InstanceId& aMember)
{
  const Member* member = mTable.find(aMember);
  if (member == nullptr) {
    return;
  }
  Member suspected = *member;
  if (suspected.mState == MemberState::Alive) {
    suspected.mState = MemberState::Suspect;
  } else if (suspected.mState == MemberState::Leaving) {
    suspected.mState = MemberState::Dead;
  } else {
    return;
  }
  const MemberState oldState = member->mState;
  mTable.merge(suspected, mHost.now());
  onStateChange(suspected, oldState);
}

template<class HostType>
void Gossip<HostType>::onSuspicionTimeout(const InstanceId& aMember, Incarnation aIncarnation)
{
  const Member* member = mTable.find(aMember);
  const bool isStillSuspect = member != nullptr && member->mState == MemberState::Suspect &&
                              member->mIncarnation == aIncarnation;
  if (isStillSuspect) {
    Member dead = *member;
    dead.mState = MemberState::Dead;
    mTable.merge(dead, mHost.now());
    onStateChange(dead, MemberState::Suspect);
  }
}

template<class HostType>
void Gossip<HostType>::announceSelf()
{
  mTable.merge(mSelf, mHost.now());
  mUpdates.add(mSelf);
  disseminate();
}

template<class HostType>
void Gossip<HostType>::disseminate()
{
  for (const bool ownZone : { true, false }) {
    std::vector<Member> members = reachableMembers(ownZone);
    for (std::size_t i = 0; i < kDisseminationFanOut && !members.empty(); ++i) {
      const std::size_t index = mHost.random().below(members.size());
      sendPing(members[index].mPeer, ++mLastSequenceNumber, {});
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
}

template<class HostType>
void Gossip<HostType>::setConfigurationVersion(ConfigurationVersion aVersion)
{
  assert(aVersion >= mSelf.mVersion && "the version must not decrease");
  mSelf.mVersion = aVersion;
  mTable.merge(mSelf, mHost.now());
  disseminate();
}

template<class HostType>
void Gossip<HostType>::leave()
{
  mSelf.mState = MemberState::Leaving;
  announceSelf();
  mListener.mOnMembershipChange();
}

template<class HostType>
void Gossip<HostType>::pingIfUnknown(const Endpoint& aPeer)
{
  const std::vector<Member> members = mTable.all();
  const bool known = std::any_of(members.begin(), members.end(), [&](const Member& aMember) {
    return aMember.mPeer == aPeer && aMember.mState != MemberState::Dead;
  });
  if (!known) {
    sendPing(aPeer, ++mLastSequenceNumber, {});
  }
}

} // namespace bulrushrun
