#pragma once

#include "bulrushrun/host.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Stand-in for the platform's row store: versioned rows, conditional transactions and a
/// change feed. Keeps everything in memory and uses no clock.
class InMemoryRowStore
{
public:
  /// \brief Handles one request.
  /// \returns the response, or nothing when a feed request has to wait for a change
  std::optional<HttpResponse> handle(const HttpRequest& aRequest);

  /// \brief Writes a row on behalf of another writer, such as the operator.
  /// \returns the version of the row
  std::uint64_t put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  /// \brief Removes a row on behalf of another writer.
  void remove(const std::string& aTable, const std::string& aKey);
  /// \brief Discards the change history. Feed requests from an older version get status 410.
  void compact() { mCompactedVersion = mVersion; }
  /// \brief Makes all requests fail with this status, until it is cleared.
  void setErrorStatus(std::optional<int> aStatus) { mErrorStatus = aStatus; }
  /// \brief Replaces all rows by a copy of this age. Later writes are lost, their versions are
  /// issued again, and the epoch that all responses state rises by one. Writes of the last minute
  /// can be lost at most.
  void restore(Duration aAge);
  /// \brief Sets the epoch that all responses state. A store states none before its first restore.
  void setEpoch(std::uint64_t aEpoch) { mEpoch = aEpoch; }
  /// \brief \returns the response to a feed request whose wait ended without a change.
  HttpResponse emptyFeedResponse() const;

  /// \brief Sets the clock that responses state.
  void setNow(Duration aNow) { mNow = aNow; }
  /// \brief Limits the rows of one response to a read of a range.
  void setMaxRowsPerRead(std::size_t aRows) { mMaxRowsPerRead = aRows; }
  /// \brief \returns the versions of the rows of a table by key.
  std::map<std::string, std::uint64_t> versions(const std::string& aTable) const;

  std::uint64_t version() const { return mVersion; }

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mRemoved = false;
  };
  using Key = std::pair<std::string, std::string>;

  /// What undoes a write of one row.
  struct PastWrite
  {
    Duration mAt;
    Key mKey;
    std::optional<Row> mRowBefore;
    std::uint64_t mVersionBefore = 0;
  };

  /// Age of the oldest copy.
  static constexpr Duration kMaxCopyAge = std::chrono::minutes(1);

  void write(const Key& aKey, Row aRow, std::uint64_t aVersionBefore);
  std::optional<HttpResponse> execute(const HttpRequest& aRequest);
  HttpResponse withEpoch(HttpResponse aResponse) const;
  HttpResponse transact(const std::string& aBody);
  HttpResponse readRange(const std::string& aQuery) const;
  std::optional<HttpResponse> readFeed(const std::string& aQuery) const;
  HttpResponse noChanges() const;
  std::uint64_t currentVersion(const Key& aKey) const;
  nlohmann::json toJson(const Key& aKey, const Row& aRow) const;

  std::map<Key, Row> mRows;
  std::uint64_t mVersion = 0;
  std::uint64_t mCompactedVersion = 0;
  std::optional<std::size_t> mMaxRowsPerRead;
  Duration mNow{ 0 };
  std::optional<int> mErrorStatus;
  std::optional<std::uint64_t> mEpoch;
  /// Newest last.
  std::deque<PastWrite> mPastWrites;
};

} // namespace bulrushrun
