#pragma once

#include "bulrushrun/store/TableReplica.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Tables of which instances tell each other.
enum class ReplicatedTable : std::size_t
{
  Operator = 0,
  Targets = 1,
};

inline constexpr std::size_t kReplicatedTables = 2;

/// \brief How far one instance knows a table.
struct TableProgress
{
  /// Every change up to this version is known.
  RecordVersion mCompleteVersion;
  /// Newest version of any row; single changes between the two may be missing.
  RecordVersion mNewestVersion;

  bool operator==(const TableProgress&) const = default;
};

using ReplicationProgress = std::array<TableProgress, kReplicatedTables>;

/// \brief What one instance tells another one of the store's tables.
struct PeerChanges
{
  /// Time since the teller's knowledge was current at the store.
  Duration mStaleness{ 0 };
  ReplicationProgress mProgress;
  std::array<std::vector<StoreRow>, kReplicatedTables> mRows;
};

/// \brief Path under which instances ask each other for news.
inline constexpr std::string_view kPeerChangesPath = "/peer/news";

/// \brief Question of one instance to another one.
struct PeerChangesRequest
{
  /// What lies beyond this is asked for.
  ReplicationProgress mProgress;
  /// Time since the asker's knowledge was current at the store.
  Duration mStaleness{ 0 };
  /// Longest time for which the question may be held open.
  Duration mMaxWait{ 0 };
};

/// \brief \returns the path and query of a question.
std::string peerChangesPath(const PeerChangesRequest& aQuestion);

/// \brief Reads a question. \returns nothing when the path is another one
std::optional<PeerChangesRequest> parsePeerChangesRequest(const std::string& aPath);

/// \brief \returns the answer's bytes: a code of the key, then MessagePack.
std::string encodePeerChanges(const PeerChanges& aNews, const std::string& aKey);

/// \brief Reads an answer. \returns nothing when it is malformed or not signed by one of the keys
std::optional<PeerChanges> decodePeerChanges(std::string_view aBytes,
                                             const std::vector<std::string>& aKeys);

} // namespace bulrushrun
