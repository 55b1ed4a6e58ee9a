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

/// \brief What gossip tells the rest of the node.
struct GossipListener
{
  /// The set of usable instances changed.
  std::function<void()> mOnMembershipChange;
  /// A member reported a configuration version.
  std::function<void(ConfigurationVersion, const Member&)> mOnConfigurationVersion;
  /// A peer says that a target is leaving.
  std::function<void(const LeavingNotice&)> mOnLeavingNotice;
  /// \returns what to tell peers of leaving targets.
  std::function<std::vector<LeavingNotice>()> mNotices;
};

/// \brief Membership by constant-cost probing, with changes riding on the probes.
///
/// Each period an instance pings one other of its zone, in shuffled turns; one that answers neither
/// directly nor through others is suspected and, unless it refutes by a higher incarnation, taken
/// for dead. A few relays a zone do the same towards other zones. Tables that differ for long are
/// brought into line by exchanging them whole, at a bounded rate.
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

  /// \brief Begins to probe.
  void start() { tick(); }

  /// \brief Takes a message as it came from the network.
  void receive(const std::string& aBytes);

  /// \brief Announces a configuration version, at once to a few others.
  void setConfigurationVersion(ConfigurationVersion aVersion);
  /// \brief Announces that this instance is leaving.
  void leave();
  /// \brief Exchanges news with a few others at once instead of with the next probe.
  void disseminate();
  /// \brief Pings an address that some list names, unless its member is known.
  void pingIfUnknown(const Endpoint& aPeer);

  /// \brief \returns all known members, this one included.
  const MemberTable& table() const { return mTable; }
  const Member& self() const { return mSelf; }
  /// \brief \returns true when another instance has answered since the start.
  bool hasReceivedMessages() const { return mHasReceivedMessages; }
  /// \brief \returns the bytes sent so far.
  std::uint64_t bytesSent() const { return mBytesSent; }
  /// \brief \returns the messages dropped as malformed, foreign or replayed.
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
  /// Members in one message of a whole table: they fit an Ethernet frame.
  static constexpr std::size_t kMembersPerSyncMessage = 12;
  static constexpr std::size_t kBytesPerMember = 80;
  static constexpr std::size_t kMaxSyncBytesPerSecond = 2048;
  static constexpr std::uint64_t kTicksPerDeadProbe = 4;

  /// Probe that waits for its Ack.
  struct Probe
  {
    InstanceId mInstance;
    Endpoint mPeer;
    bool mOtherZone = false;
  };

  // Rounds.
  void tick();
  void probeOwnZone();
  void probeOtherZone();
  void probeDead();
  void contactSeeds();
  void probe(const Member& aMember);
  void onDirectProbeTimeout(std::uint64_t aNumber);
  void onProbeTimeout(std::uint64_t aNumber);
  void probeMoreOfZone(const ZoneName& aZone);

  // Messages.
  void send(const Endpoint& aPeer, GossipMessage aMessage);
  void sendPing(const Endpoint& aPeer, std::uint64_t aNumber, const Endpoint& aFor);
  void sendSync(const Endpoint& aPeer, bool aWantsReply);
  void onPing(const GossipMessage& aMessage);
  void onAck(const GossipMessage& aMessage);
  void onDigest(const GossipMessage& aMessage);
  Duration syncInterval() const;

  // Table.
  void applyUpdate(const Member& aMember);
  void refuteIfWrong(const Member& aMember);
  void onStateChange(const Member& aMember, MemberState aBefore);
  void suspect(const InstanceId& aMember);
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
  TimePoint mLastSync;
  bool mHasReceivedMessages = false;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mDroppedMessages = 0;
};

} // namespace bulrushrun

// Member functions, by duty.
#include "bulrushrun/membership/GossipProbing.h"
// Messages and the table.
#include "bulrushrun/membership/GossipMessageHandling.h"
