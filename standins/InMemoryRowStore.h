#pragma once

#include "bulrushrun/host.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Stand-in for the platform's store: rows with versions, transactions under conditions, and
/// a feed of changes. In memory; time does not pass in it.
class InMemoryRowStore
{
public:
  /// \brief Answers one call. \returns nothing when a feed call has to wait for a change
  std::optional<HttpResponse> handle(const HttpRequest& aRequest);

  /// \brief Writes a row as another writer, such as the operator. \returns its version
  std::uint64_t put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  /// \brief Removes a row as another writer.
  void remove(const std::string& aTable, const std::string& aKey);
  /// \brief Forgets the history of changes; feeds from before get 410.
  void compact() { mOldest = mVersion; }
  /// \brief While set, all calls get this status.
  void setErrorStatus(std::optional<int> aStatus) { mDown = aStatus; }
  /// \brief \returns the answer that ends a waiting feed call without changes.
  HttpResponse emptyFeedResponse() const;

  std::uint64_t version() const { return mVersion; }

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mRemoved = false;
  };
  using Key = std::pair<std::string, std::string>;

  HttpResponse transact(const std::string& aBody);
  HttpResponse readRange(const std::string& aQuery) const;
  std::optional<HttpResponse> readFeed(const std::string& aQuery) const;
  std::uint64_t versionOf(const Key& aKey) const;
  nlohmann::json rowJson(const Key& aKey, const Row& aRow) const;

  std::map<Key, Row> mRows;
  std::uint64_t mVersion = 0;
  std::uint64_t mOldest = 0;
  std::optional<int> mDown;
};

} // namespace bulrushrun
