#pragma once

#include "bulrushrun/health/LeavingTargets.h"
#include "bulrushrun/membership/Member.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Kinds of control messages between instances.
enum class GossipKind
{
  /// Asks for an Ack with the same number.
  Ping = 1,
  Ack = 2,
  /// Asks the receiver to ping mIndirectPeer for the sender.
  PingRequest = 3,
  /// Part of the sender's whole table.
  Sync = 4,
};

/// \brief One control message. Every kind carries the sender and recent changes.
struct GossipMessage
{
  GossipKind mKind = GossipKind::Ping;
  std::uint64_t mSequenceNumber = 0;
  /// The sender as it is now.
  Member mSender;
  /// Digest of the sender's table.
  std::uint64_t mDigest = 0;
  /// For PingRequest: who is to be pinged. For Ping: who wants to know the answer, if not the
  /// sender.
  Endpoint mIndirectPeer;
  /// For Sync: true when the receiver should send its own table back.
  bool mWantsReply = false;
  std::vector<Member> mUpdates;
  std::vector<LeavingNotice> mNotices;
};

/// \brief \returns the message as MessagePack.
std::string encodeGossip(const GossipMessage& aMessage);

/// \brief \returns the message, or nothing when the bytes are malformed.
std::optional<GossipMessage> decodeGossip(std::string_view aBytes);

} // namespace bulrushrun
