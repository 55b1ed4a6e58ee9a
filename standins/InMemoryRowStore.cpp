#include "standins/InMemoryRowStore.h"

#include "bulrushrun/store.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kDefaultRowLimit = 500;

HttpResponse makeJsonResponse(int aStatus, const Json& aBody)
{
  return { { aStatus, { { "Content-Type", "application/json" } }, std::nullopt }, aBody.dump() };
}

std::string percentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded += static_cast<char>(std::stoi(std::string{ aText.substr(i + 1, 2) }, nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

/// \returns the decoded value of a query parameter, empty when it is missing.
std::string queryParameter(const std::string& aQuery, const std::string& aName)
{
  std::size_t at = 0;
  while (at < aQuery.size()) {
    const std::size_t end = std::min(aQuery.find('&', at), aQuery.size());
    const std::string pair = aQuery.substr(at, end - at);
    if (pair.starts_with(aName + "=")) {
      return percentDecode(std::string_view{ pair }.substr(aName.size() + 1));
    }
    at = end + 1;
  }
  return "";
}

} // namespace

std::uint64_t InMemoryRowStore::put(const std::string& aTable,
                                    const std::string& aKey,
                                    const std::string& aValue)
{
  ++mVersion;
  write({ aTable, aKey }, { aValue, mVersion, false }, mVersion - 1);
  return mVersion;
}

void InMemoryRowStore::write(const Key& aKey, Row aRow, std::uint64_t aVersionBefore)
{
  const auto [row, inserted] = mRows.try_emplace(aKey);
  mPastWrites.push_back(
    { mNow, aKey, inserted ? std::nullopt : std::optional{ row->second }, aVersionBefore });
  while (mPastWrites.front().mAt < mNow - kMaxCopyAge) {
    mPastWrites.pop_front();
  }
  row->second = std::move(aRow);
}

void InMemoryRowStore::restore(Duration aAge)
{
  while (!mPastWrites.empty() && mPastWrites.back().mAt > mNow - aAge) {
    const PastWrite& last = mPastWrites.back();
    if (last.mRowBefore) {
      mRows[last.mKey] = *last.mRowBefore;
    } else {
      mRows.erase(last.mKey);
    }
    mVersion = last.mVersionBefore;
    mPastWrites.pop_back();
  }
  mCompactedVersion = std::min(mCompactedVersion, mVersion);
  mEpoch = mEpoch.value_or(0) + 1;
}

void InMemoryRowStore::remove(const std::string& aTable, const std::string& aKey)
{
  ++mVersion;
  write({ aTable, aKey }, { "", mVersion, true }, mVersion - 1);
}

std::optional<HttpResponse> InMemoryRowStore::handle(const HttpRequest& aRequest)
{
  std::optional<HttpResponse> response = execute(aRequest);
  return response ? std::optional{ withEpoch(std::move(*response)) } : std::nullopt;
}

HttpResponse InMemoryRowStore::withEpoch(HttpResponse aResponse) const
{
  if (mEpoch) {
    aResponse.mHead.mHeaders.push_back({ "Store-Era", std::to_string(*mEpoch) });
  }
  return aResponse;
}

std::optional<HttpResponse> InMemoryRowStore::execute(const HttpRequest& aRequest)
{
  if (mErrorStatus) {
    return makeJsonResponse(*mErrorStatus, Json::object());
  }
  const std::size_t queryStart = std::min(aRequest.mPath.find('?'), aRequest.mPath.size());
  const std::string path = aRequest.mPath.substr(0, queryStart);
  const std::string query =
    queryStart < aRequest.mPath.size() ? aRequest.mPath.substr(queryStart + 1) : "";
  if (path == "/-/rows-tx") {
    return transact(aRequest.mBody.text());
  }
  if (path == "/-/rows-get") {
    return readRange(query);
  }
  if (path == "/-/rows-feed") {
    return readFeed(query);
  }
  return makeJsonResponse(404, { { "error", "unknown path" } });
}

std::uint64_t InMemoryRowStore::currentVersion(const Key& aKey) const
{
  const auto row = mRows.find(aKey);
  return row == mRows.end() || row->second.mRemoved ? 0 : row->second.mVersion;
}

HttpResponse InMemoryRowStore::transact(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return makeJsonResponse(400, { { "error", "the body is not a JSON object" } });
  }
  for (const Json& row : body.value("expect", Json::array())) {
    const Key key{ row.at("table"), row.at("key") };
    if (currentVersion(key) != row.at("ver").get<std::uint64_t>()) {
      return makeJsonResponse(
        412, { { "ver", mVersion }, { "nowMs", toMillis(mNow) }, { "rows", Json::array() } });
    }
  }
  ++mVersion;
  for (const Json& row : body.value("put", Json::array())) {
    write({ row.at("table"), row.at("key") },
          { fromBase64(row.at("value").get<std::string>()).value_or(""), mVersion, false },
          mVersion - 1);
  }
  for (const Json& row : body.value("remove", Json::array())) {
    write({ row.at("table"), row.at("key") }, { "", mVersion, true }, mVersion - 1);
  }
  return makeJsonResponse(200, { { "ver", mVersion }, { "nowMs", toMillis(mNow) } });
}

Json InMemoryRowStore::toJson(const Key& aKey, const Row& aRow) const
{
  Json json{
    { "table", aKey.first }, { "part", "" }, { "key", aKey.second }, { "ver", aRow.mVersion }
  };
  if (aRow.mRemoved) {
    json["tombstone"] = true;
  } else {
    json["value"] = toBase64(aRow.mValue);
  }
  return json;
}

HttpResponse InMemoryRowStore::readRange(const std::string& aQuery) const
{
  const std::string table = queryParameter(aQuery, "table");
  const std::string limitText = queryParameter(aQuery, "limit");
  const std::size_t asked = limitText.empty() ? kDefaultRowLimit : std::stoul(limitText);
  const std::size_t limit = std::min(asked, mMaxRowsPerRead.value_or(asked));
  Json rows = Json::array();
  bool hasMore = false;
  for (auto row = mRows.lower_bound({ table, queryParameter(aQuery, "from") });
       row != mRows.end() && row->first.first == table;
       ++row) {
    if (row->second.mRemoved) {
      continue;
    }
    if (rows.size() == limit) {
      hasMore = true;
      break;
    }
    rows.push_back(toJson(row->first, row->second));
  }
  return makeJsonResponse(
    200,
    { { "rows", rows }, { "hasMore", hasMore }, { "ver", mVersion }, { "nowMs", toMillis(mNow) } });
}

std::optional<HttpResponse> InMemoryRowStore::readFeed(const std::string& aQuery) const
{
  const std::string table = queryParameter(aQuery, "table");
  const std::uint64_t after = std::stoull(queryParameter(aQuery, "after"));
  if (after < mCompactedVersion || after > mVersion) {
    return makeJsonResponse(410, { { "error", "the version is compacted or unknown" } });
  }
  std::map<std::uint64_t, std::vector<Json>> changedRows;
  for (const auto& [key, row] : mRows) {
    if (key.first == table && row.mVersion > after) {
      changedRows[row.mVersion].push_back(toJson(key, row));
    }
  }
  if (changedRows.empty()) {
    return queryParameter(aQuery, "waitMs") == "0" ? std::optional{ noChanges() } : std::nullopt;
  }
  Json rows = Json::array();
  for (const auto& [version, changes] : changedRows) {
    for (const Json& json : changes) {
      rows.push_back(json);
    }
  }
  return makeJsonResponse(200,
                          { { "rows", rows }, { "ver", mVersion }, { "nowMs", toMillis(mNow) } });
}

std::map<std::string, std::uint64_t> InMemoryRowStore::versions(const std::string& aTable) const
{
  std::map<std::string, std::uint64_t> versions;
  for (const auto& [key, row] : mRows) {
    if (key.first == aTable && !row.mRemoved) {
      versions[key.second] = row.mVersion;
    }
  }
  return versions;
}

HttpResponse InMemoryRowStore::noChanges() const
{
  return makeJsonResponse(
    200, { { "rows", Json::array() }, { "ver", mVersion }, { "nowMs", toMillis(mNow) } });
}

HttpResponse InMemoryRowStore::emptyFeedResponse() const
{
  return withEpoch(noChanges());
}

} // namespace bulrushrun
