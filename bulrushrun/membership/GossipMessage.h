#pragma once

#include "bulrushrun/health/LeavingTargets.h"
#include "bulrushrun/membership/Member.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Kind of a control message between instances.
enum class GossipKind
{
  /// Requests an Ack with the same sequence number.
  Ping = 1,
  Ack = 2,
  /// Requests that the receiver ping mIndirectPeer on behalf of the sender (indirect probe).
  PingRequest = 3,
  /// Part of the sender's complete member table.
  Sync = 4,
};

/// \brief One control message. Every kind carries the sender's own state and membership updates.
struct GossipMessage
{
  GossipKind mKind = GossipKind::Ping;
  std::uint64_t mSequenceNumber = 0;
  /// Current state of the sender.
  Member mSender;
  /// Digest of the sender's member table.
  std::uint64_t mDigest = 0;
  /// For PingRequest: the peer to ping. For Ping: the peer that gets the Ack, if not the sender.
  Endpoint mIndirectPeer;
  /// For Sync: the receiver is to send its own table back.
  bool mWantsReply = false;
  std::vector<Member> mUpdates;
  std::vector<LeavingNotice> mNotices;
};

/// \brief \returns the message encoded as MessagePack.
std::string encodeGossip(const GossipMessage& aMessage);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<GossipMessage> decodeGossip(std::string_view aBytes);

} // namespace bulrushrun
