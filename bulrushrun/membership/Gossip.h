#pragma once

#include "bulrushrun/host/Events.h"
#include "bulrushrun/host/Host.h"
#include "bulrushrun/membership/GossipMessage.h"
#include "bulrushrun/membership/MemberTable.h"
#include "bulrushrun/membership/MessageSeal.h"
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
  std::function<void()> mOnMembers;
  /// A member reported a configuration version.
  std::function<void(ConfigurationVersion, const Member&)> mOnVersion;
  /// A peer says that a target is leaving.
  std::function<void(const LeavingNotice&)> mOnNotice;
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
    , mSeal(std::move(aKeys), mSelf.mId, mSelf.mIncarnation.value())
    , mListener(std::move(aListener))
  {
    mTable.merge(mSelf, mHost.now());
  }

  /// \brief Begins to probe.
  void start() { tick(); }

  /// \brief Takes a message as it came from the network.
  void receive(const std::string& aBytes);

  /// \brief Announces a configuration version, at once to a few others.
  void setVersion(ConfigurationVersion aVersion);
  /// \brief Announces that this instance is leaving.
  void leave();
  /// \brief Exchanges news with a few others at once instead of with the next probe.
  void spread();
  /// \brief Pings an address that some list names, unless its member is known.
  void contact(const Endpoint& aPeer);

  /// \brief \returns all known members, this one included.
  const MemberTable& table() const { return mTable; }
  const Member& self() const { return mSelf; }
  /// \brief \returns true when another instance has answered since the start.
  bool hasHeardOthers() const { return mHeardOthers; }
  /// \brief \returns the bytes sent so far.
  std::uint64_t bytesSent() const { return mBytesSent; }
  /// \brief \returns the messages dropped as malformed, foreign or replayed.
  std::uint64_t dropped() const { return mDropped; }

private:
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);
  static constexpr Duration kDirectLimit = std::chrono::milliseconds(250);
  static constexpr Duration kSuspicionSpan = std::chrono::milliseconds(2000);
  static constexpr Duration kDeadKept = std::chrono::hours(24);
  static constexpr Duration kMinSyncInterval = std::chrono::seconds(1);
  static constexpr std::size_t kIndirectProbes = 3;
  static constexpr std::size_t kSpreadFanOut = 4;
  static constexpr std::size_t kZoneCheckProbes = 8;
  /// Members in one message of a whole table: they fit an Ethernet frame.
  static constexpr std::size_t kSyncChunk = 12;
  static constexpr std::size_t kBytesPerMember = 80;
  static constexpr std::size_t kSyncBytesPerSecond = 2048;
  static constexpr std::uint64_t kTicksPerDeadProbe = 4;

  /// Probe that waits for its Ack.
  struct Probe
  {
    InstanceId mMember;
    Endpoint mPeer;
    bool mOtherZone = false;
  };

  // Rounds.
  void tick();
  void probeZone();
  void probeOtherZone();
  void probeDead();
  void contactSeeds();
  void probe(const Member& aMember);
  void onDirectLimit(std::uint64_t aNumber);
  void onProbeLimit(std::uint64_t aNumber);
  void checkZone(const ZoneName& aZone);

  // Messages.
  void send(const Endpoint& aPeer, GossipMessage aMessage);
  void sendPing(const Endpoint& aPeer, std::uint64_t aNumber, const Endpoint& aFor);
  void sendSync(const Endpoint& aPeer, bool aWantsReply);
  void onPing(const GossipMessage& aMessage);
  void onAck(const GossipMessage& aMessage);
  void onDigest(const GossipMessage& aMessage);
  Duration syncInterval() const;

  // Table.
  void learn(const Member& aMember);
  void learnOfSelf(const Member& aMember);
  void afterChange(const Member& aMember, MemberState aBefore);
  void suspect(const InstanceId& aMember);
  void onSuspicionEnd(const InstanceId& aMember, Incarnation aIncarnation);
  void announceSelf();
  std::vector<Member> usable(bool aOwnZone) const;

  HostType& mHost;
  Member mSelf;
  std::vector<Endpoint> mSeeds;
  MessageSeal mSeal;
  GossipListener mListener;
  MemberTable mTable;
  UpdateQueue mUpdates;
  std::vector<InstanceId> mTurn;
  std::unordered_map<std::uint64_t, Probe> mProbes;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mTicks = 0;
  TimePoint mLastSync;
  bool mHeardOthers = false;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mDropped = 0;
};

} // namespace bulrushrun

// Member functions, by duty.
#include "bulrushrun/membership/GossipRounds.h"
// Messages and the table.
#include "bulrushrun/membership/GossipMessages.h"
