#include "bulrushrun/membership/GossipMessage.h"

#include "bulrushrun/core/MessagePack.h"

#include <algorithm>
#include <tuple>

namespace bulrushrun {

namespace {

using WireEndpoint = std::tuple<std::uint32_t, std::uint16_t>;
/// Earlier versions neither send nor read the last field.
using WireMember = std::tuple<std::string,
                              std::string,
                              WireEndpoint,
                              WireEndpoint,
                              std::uint64_t,
                              int,
                              std::uint64_t,
                              std::uint32_t>;
/// Target, time, incarnation and age in milliseconds. Earlier versions send and read the first two.
using WireNotice = std::tuple<std::string, std::int64_t, std::uint64_t, std::int64_t>;
using WireMessage = std::tuple<int,
                               std::uint64_t,
                               WireMember,
                               std::uint64_t,
                               WireEndpoint,
                               bool,
                               std::vector<WireMember>,
                               std::vector<WireNotice>>;

WireEndpoint toWire(const Endpoint& aEndpoint)
{
  return { aEndpoint.mAddress, aEndpoint.mPort };
}

Endpoint fromWire(const WireEndpoint& aWire)
{
  return { std::get<0>(aWire), std::get<1>(aWire) };
}

WireMember toWire(const Member& aMember)
{
  return { aMember.mId.text(),       aMember.mZone.text(),         toWire(aMember.mListen),
           toWire(aMember.mPeer),    aMember.mIncarnation.value(), static_cast<int>(aMember.mState),
           aMember.mVersion.value(), aMember.mProcessorShare };
}

std::optional<Member> fromWire(const WireMember& aWire)
{
  const auto& [id, zone, listen, peer, incarnation, state, version, processorShare] = aWire;
  const bool known =
    state >= static_cast<int>(MemberState::Alive) && state <= static_cast<int>(MemberState::Dead);
  if (!known || id.empty() || zone.empty()) {
    return std::nullopt;
  }
  return Member{ InstanceId{ id },
                 ZoneName{ zone },
                 fromWire(listen),
                 fromWire(peer),
                 Incarnation{ incarnation },
                 static_cast<MemberState>(state),
                 ConfigurationVersion{ version },
                 processorShare };
}

std::optional<GossipMessage> fromWire(const WireMessage& aWire)
{
  const auto& [kind, number, sender, digest, subject, wantsReply, updates, notices] = aWire;
  const std::optional<Member> senderMember = fromWire(sender);
  const bool known =
    kind >= static_cast<int>(GossipKind::Ping) && kind <= static_cast<int>(GossipKind::Sync);
  if (!known || !senderMember) {
    return std::nullopt;
  }
  GossipMessage message{ static_cast<GossipKind>(kind),
                         number,
                         *senderMember,
                         digest,
                         fromWire(subject),
                         wantsReply,
                         {},
                         {} };
  for (const WireMember& update : updates) {
    const std::optional<Member> member = fromWire(update);
    if (!member) {
      return std::nullopt;
    }
    message.mUpdates.push_back(*member);
  }
  for (const WireNotice& notice : notices) {
    const auto& [target, seen, incarnation, age] = notice;
    // Longer ages would overflow; a notice expires much earlier.
    constexpr std::int64_t kMaxAge = 1'000'000'000;
    message.mNotices.push_back(
      { TargetId{ target },
        UnixSeconds{ seen },
        Incarnation{ incarnation },
        std::chrono::milliseconds(std::clamp<std::int64_t>(age, -1, kMaxAge)) });
  }
  return message;
}

} // namespace

std::string encodeGossip(const GossipMessage& aMessage)
{
  std::vector<WireMember> updates;
  updates.reserve(aMessage.mUpdates.size());
  for (const Member& member : aMessage.mUpdates) {
    updates.push_back(toWire(member));
  }
  std::vector<WireNotice> notices;
  for (const LeavingNotice& notice : aMessage.mNotices) {
    notices.emplace_back(notice.mTarget.text(),
                         notice.mSeen.count(),
                         notice.mIncarnation.value(),
                         toMillis(notice.mAge));
  }
  const WireMessage wire{ static_cast<int>(aMessage.mKind),
                          aMessage.mSequenceNumber,
                          toWire(aMessage.mSender),
                          aMessage.mDigest,
                          toWire(aMessage.mIndirectPeer),
                          aMessage.mWantsReply,
                          updates,
                          notices };
  return packMessage(wire);
}

std::optional<GossipMessage> decodeGossip(std::string_view aBytes)
{
  const std::optional<WireMessage> wire = unpackMessage<WireMessage>(aBytes);
  return wire ? fromWire(*wire) : std::nullopt;
}

} // namespace bulrushrun
