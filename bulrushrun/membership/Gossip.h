#pragma once

#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Host.h"
#include "bulrushrun/membership/GossipMessage.h"
#include "bulrushrun/membership/MemberTable.h"
#include "bulrushrun/membership/MessageAuthenticator.h"
#include "bulrushrun/membership/UpdateQueue.h"
#include "bulrushrun/membership/ZoneRelays.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Callbacks from gossip into the instance that owns it.
struct GossipListener
{
  /// Runs when the set of usable instances changed.
  std::function<void()> mOnMembershipChange;
  /// Runs for each reported configuration version of a member that is not dead.
  std::function<void(ConfigurationVersion, const Member&)> mOnConfigurationVersion;
  /// Runs when a peer reports that a target is leaving.
  std::function<void(const LeavingNotice&)> mOnLeavingNotice;
  /// \returns the notices of leaving targets to send to peers.
  std::function<std::vector<LeavingNotice>()> mNotices;
  /// Runs for an authentic message of another protocol that shares the messages' envelope.
  /// \returns false when the payload is malformed
  std::function<bool(std::string_view)> mOnOtherPayload = [](std::string_view) { return false; };
};

/// \brief SWIM-style membership protocol: failure detection at constant cost per instance, with
/// membership updates piggybacked on the probes.
///
/// In each probe interval an instance pings one other member of its zone, in shuffled round-robin
/// order. A member that responds neither directly nor through other members is suspected and then
/// declared dead, unless it refutes the suspicion with a higher incarnation. The relays of each
/// zone probe the relays of other zones in the same way. Tables that still differ once no updates
/// are queued are synchronised by exchanging them completely, at a bounded rate.
template<class HostType>
class Gossip
{
public:
  Gossip(HostType& aHost,
         Member aSelf,
         std::vector<Endpoint> aSeeds,
         std::vector<std::string> aKeys,
         GossipListener aListener)
    : mHost(aHost)
    , mSelf(std::move(aSelf))
    , mSeeds(std::move(aSeeds))
    , mAuthenticator(std::move(aKeys), mSelf.mId, mSelf.mIncarnation.value())
    , mListener(std::move(aListener))
  {
    mTable.merge(mSelf, mHost.now());
  }

  /// \brief Starts the periodic probes.
  void start() { tick(); }

  /// \brief Verifies and handles a message received from the network.
  void receive(const std::string& aBytes);

  /// \brief Sets the configuration version of this instance and disseminates it at once.
  void setConfigurationVersion(ConfigurationVersion aVersion);
  /// \brief Announces that this instance is leaving.
  void leave();
  /// \brief Exchanges updates with a few random members at once instead of with the next probe.
  void disseminate();
  /// \brief Pings an address, unless it belongs to a known member that is not dead.
  void pingIfUnknown(const Endpoint& aPeer);

  /// \brief Sends the payload of another protocol to a peer, in the envelope of gossip messages.
  void sendPayload(const Endpoint& aPeer, const std::string& aPayload);

  /// \brief \returns all known members, including this instance.
  const MemberTable& table() const { return mTable; }
  const Member& self() const { return mSelf; }
  /// \brief \returns true when a message of another instance has arrived since the start.
  bool hasReceivedMessages() const { return mHasReceivedMessages; }
  /// \brief \returns the number of bytes sent since the start.
  std::uint64_t bytesSent() const { return mBytesSent; }
  /// \brief \returns the number of messages dropped as malformed, not authentic or replayed.
  std::uint64_t droppedMessages() const { return mDroppedMessages; }

private:
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
  static constexpr Duration kDirectProbeTimeout = std::chrono::milliseconds(250);
  static constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(2000);
  static constexpr Duration kDeadMemberRetention = std::chrono::hours(24);
  static constexpr Duration kMinSyncInterval = std::chrono::seconds(1);
  static constexpr std::size_t kIndirectProbes = 3;
  static constexpr std::size_t kDisseminationFanOut = 4;
  static constexpr std::size_t kZoneCheckProbes = 8;
  /// Members per Sync message, so that a message fits into one Ethernet frame.
  static constexpr std::size_t kMembersPerSyncMessage = 12;
  static constexpr std::size_t kBytesPerMember = 80;
  static constexpr std::size_t kMaxSyncBytesPerSecond = 2048;
  static constexpr std::uint64_t kTicksPerDeadProbe = 4;

  /// A probe whose Ack has not arrived yet.
  struct Probe
  {
    InstanceId mInstance;
    Endpoint mPeer;
    bool mInOtherZone = false;
  };

  // Probing.
  void tick();
  void probeOwnZone();
  void probeOtherZone();
  void probeDead();
  void contactSeeds();
  void probe(const Member& aMember);
  void onDirectProbeTimeout(std::uint64_t aSequenceNumber);
  void onProbeTimeout(std::uint64_t aSequenceNumber);
  void probeMoreOfZone(const ZoneName& aZone);

  // Messages.
  void send(const Endpoint& aPeer, GossipMessage aMessage);
  void sendPing(const Endpoint& aPeer,
                std::uint64_t aSequenceNumber,
                const Endpoint& aIndirectPeer);
  void sendSync(const Endpoint& aPeer, bool aWantsReply);
  void onPing(const GossipMessage& aMessage);
  void onAck(const GossipMessage& aMessage);
  void onDigest(const GossipMessage& aMessage);
  Duration syncInterval() const;

  // Member table.
  void applyUpdate(const Member& aMember);
  void refuteIfWrong(const Member& aMember);
  void onStateChange(const Member& aMember, MemberState aOldState);
  void suspectMember(const InstanceId& aMember);
  void onSuspicionTimeout(const InstanceId& aMember, Incarnation aIncarnation);
  void announceSelf();
  std::vector<Member> reachableMembers(bool aOwnZone) const;

  HostType& mHost;
  Member mSelf;
  std::vector<Endpoint> mSeeds;
  MessageAuthenticator mAuthenticator;
  GossipListener mListener;
  MemberTable mTable;
  UpdateQueue mUpdates;
  std::vector<InstanceId> mProbeOrder;
  std::unordered_map<std::uint64_t, Probe> mProbes;
  std::uint64_t mLastSequenceNumber = 0;
  std::uint64_t mTicks = 0;
  TimePoint mLastSyncAt;
  bool mHasReceivedMessages = false;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mDroppedMessages = 0;
};

} // namespace bulrushrun

// Definitions of the member functions: probing.
#include "bulrushrun/membership/GossipProbing.h"
// Messages and updates of the member table.
#include "bulrushrun/membership/GossipMessageHandling.h"
