#pragma once

#include "bulrushrun/store/TableReplica.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Tables of the store that instances replicate among each other.
enum class ReplicatedTable : std::size_t
{
  Operator = 0,
  Targets = 1,
};

inline constexpr std::size_t kReplicatedTables = 2;

/// \brief \returns the name of a table for the log.
inline std::string tableText(ReplicatedTable aTable)
{
  return aTable == ReplicatedTable::Operator ? "operator" : "targets";
}

/// \brief Versions up to which an instance has received the changes of a table.
///
/// Of two epochs, the newer one is ahead, whatever the versions are.
struct TableProgress
{
  /// Every change up to this version was received.
  RecordVersion mCompleteVersion;
  /// Newest version of any row; some changes between the two versions may be missing.
  RecordVersion mNewestVersion;
  /// Epoch of the store to which both versions belong; 0 from instances that do not report it.
  StoreEpoch mEpoch = {};

  bool operator==(const TableProgress&) const = default;
};

using ReplicationProgress = std::array<TableProgress, kReplicatedTables>;

/// \brief What a requester needs to tell whether the changes that it got are all that it lacked.
struct ReplicaSummary
{
  /// The responder knows every removal after this version. To a requester whose replica is older,
  /// its changes may lack removals.
  RecordVersion mRemovalsKnownFrom;
  /// Digest of the responder's rows; 0 from instances that do not report it.
  std::uint64_t mDigest = 0;

  bool operator==(const ReplicaSummary&) const = default;
};

/// \brief Response to a request for changes of the store's tables.
struct PeerChanges
{
  /// Time since the responder's replicas were current at the store.
  Duration mStaleness{ 0 };
  /// Time for which the responder held the request; empty from instances that do not report it.
  std::optional<Duration> mHeld;
  ReplicationProgress mProgress;
  /// The requester reads compressed values.
  bool mAcceptsCompressed = false;
  /// Progress that the request stated; filled in by the requester.
  ReplicationProgress mRequested;
  std::array<ReplicaSummary, kReplicatedTables> mSummaries;
  std::array<std::vector<StoreRow>, kReplicatedTables> mRows;
};

/// \brief Path under which instances request table changes from each other.
inline constexpr std::string_view kPeerChangesPath = "/peer/news";

/// \brief Request of one instance to another for table changes.
struct PeerChangesRequest
{
  /// Progress of the requester; changes beyond it are requested.
  ReplicationProgress mProgress;
  /// Time since the requester's replicas were current at the store.
  Duration mStaleness{ 0 };
  /// Longest time for which the responder may hold the request open (long polling).
  Duration mMaxWait{ 0 };
  /// The requester reads compressed values; instances of older versions do not.
  bool mAcceptsCompressed = true;
};

/// \brief \returns the path and query of a request.
std::string peerChangesPath(const PeerChangesRequest& aRequest);

/// \brief Parses a request. \returns nothing when the path is another one or its query is malformed
std::optional<PeerChangesRequest> parsePeerChangesRequest(const std::string& aPath);

/// \brief \returns the body of a response: an HMAC with the key, then MessagePack.
std::string encodePeerChanges(const PeerChanges& aChanges, const std::string& aKey);

/// \brief Parses a response body.
/// \returns nothing when it is malformed or not signed with one of the keys
std::optional<PeerChanges> decodePeerChanges(std::string_view aBytes,
                                             const std::vector<std::string>& aKeys);

} // namespace bulrushrun
