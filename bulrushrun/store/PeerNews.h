#pragma once

#include "bulrushrun/store/TableCopy.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Tables of which instances tell each other.
enum class NewsTable : std::size_t
{
  Operator = 0,
  Targets = 1,
};

inline constexpr std::size_t kNewsTables = 2;

/// \brief How far one instance knows a table.
struct TableProgress
{
  /// Every change up to this version is known.
  RecordVersion mComplete;
  /// Newest version of any row; single changes between the two may be missing.
  RecordVersion mNewest;

  bool operator==(const TableProgress&) const = default;
};

using NewsProgress = std::array<TableProgress, kNewsTables>;

/// \brief What one instance tells another one of the store's tables.
struct PeerNews
{
  /// Time since the teller's knowledge was current at the store.
  Duration mAge{ 0 };
  NewsProgress mProgress;
  std::array<std::vector<StoreRow>, kNewsTables> mRows;
};

/// \brief Path under which instances ask each other for news.
inline constexpr std::string_view kPeerNewsPath = "/peer/news";

/// \brief Question of one instance to another one.
struct PeerNewsQuestion
{
  /// What lies beyond this is asked for.
  NewsProgress mProgress;
  /// Time since the asker's knowledge was current at the store.
  Duration mAge{ 0 };
  /// Longest time for which the question may be held open.
  Duration mWait{ 0 };
};

/// \brief \returns the path and query of a question.
std::string peerNewsPath(const PeerNewsQuestion& aQuestion);

/// \brief Reads a question. \returns nothing when the path is another one
std::optional<PeerNewsQuestion> readPeerNewsQuestion(const std::string& aPath);

/// \brief \returns the answer's bytes: a code of the key, then MessagePack.
std::string encodePeerNews(const PeerNews& aNews, const std::string& aKey);

/// \brief Reads an answer. \returns nothing when it is malformed or not signed by one of the keys
std::optional<PeerNews> decodePeerNews(std::string_view aBytes,
                                       const std::vector<std::string>& aKeys);

} // namespace bulrushrun
