#include "bulrushrun/store/PeerReplicationCodec.h"

#include "bulrushrun/core/MessagePack.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace bulrushrun {

namespace {

constexpr std::size_t kCodeBytes = 32;
/// Longer spans are taken as this one.
constexpr std::uint64_t kMaxMillis = 86'400'000;
/// Versions of two tables, the age and the wait.
constexpr std::size_t kQuestionNumbers = 2 * kReplicatedTables + 2;

using WireRow = std::tuple<std::string, std::string, std::uint64_t, bool>;
using WireTable = std::tuple<std::uint64_t, std::uint64_t, std::vector<WireRow>>;
using WireNews = std::tuple<std::int64_t, std::vector<WireTable>>;

WireTable toWire(const TableProgress& aProgress, const std::vector<StoreRow>& aRows)
{
  std::vector<WireRow> rows;
  rows.reserve(aRows.size());
  for (const StoreRow& row : aRows) {
    rows.emplace_back(row.mKey, row.mValue, row.mVersion.value(), row.mRemoved);
  }
  return { aProgress.mCompleteVersion.value(), aProgress.mNewestVersion.value(), std::move(rows) };
}

} // namespace

std::string peerChangesPath(const PeerChangesRequest& aQuestion)
{
  std::string path = std::string{ kPeerChangesPath } + "?";
  for (const TableProgress& table : aQuestion.mProgress) {
    path += std::to_string(table.mCompleteVersion.value()) + "," +
            std::to_string(table.mNewestVersion.value()) + ",";
  }
  return path + std::to_string(toMillis(aQuestion.mStaleness)) + "," +
         std::to_string(toMillis(aQuestion.mMaxWait));
}

std::optional<PeerChangesRequest> parsePeerChangesRequest(const std::string& aPath)
{
  const std::string prefix = std::string{ kPeerChangesPath } + "?";
  if (!aPath.starts_with(prefix)) {
    return std::nullopt;
  }
  std::array<std::uint64_t, kQuestionNumbers> numbers{};
  const char* at = aPath.data() + prefix.size();
  const char* end = aPath.data() + aPath.size();
  for (std::uint64_t& number : numbers) {
    const std::from_chars_result result = std::from_chars(at, end, number);
    if (result.ec != std::errc{}) {
      return std::nullopt;
    }
    at = result.ptr == end ? end : result.ptr + 1;
  }
  PeerChangesRequest question;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    question.mProgress[i] = { RecordVersion{ numbers[2 * i] },
                              RecordVersion{ numbers[2 * i + 1] } };
  }
  const auto millis = [](std::uint64_t aNumber) {
    return std::chrono::milliseconds(std::min(aNumber, kMaxMillis));
  };
  question.mStaleness = millis(numbers[2 * kReplicatedTables]);
  question.mMaxWait = millis(numbers[2 * kReplicatedTables + 1]);
  return question;
}

std::string encodePeerChanges(const PeerChanges& aNews, const std::string& aKey)
{
  std::vector<WireTable> tables;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    tables.push_back(toWire(aNews.mProgress[i], aNews.mRows[i]));
  }
  const std::string payload =
    packMessage(WireNews{ toMillis(aNews.mStaleness), std::move(tables) });
  return hmacSha256(aKey, payload) + payload;
}

std::optional<PeerChanges> decodePeerChanges(std::string_view aBytes,
                                             const std::vector<std::string>& aKeys)
{
  if (aBytes.size() <= kCodeBytes) {
    return std::nullopt;
  }
  const std::string_view code = aBytes.substr(0, kCodeBytes);
  const std::string_view payload = aBytes.substr(kCodeBytes);
  const bool authentic = std::any_of(aKeys.begin(), aKeys.end(), [&](const std::string& aKey) {
    return constantTimeEquals(hmacSha256(aKey, payload), code);
  });
  const std::optional<WireNews> wire =
    authentic ? unpackMessage<WireNews>(payload) : std::optional<WireNews>{};
  if (!wire || std::get<1>(*wire).size() != kReplicatedTables) {
    return std::nullopt;
  }
  PeerChanges news;
  news.mStaleness = std::chrono::milliseconds(std::max<std::int64_t>(std::get<0>(*wire), 0));
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const auto& [complete, newest, rows] = std::get<1>(*wire)[i];
    news.mProgress[i] = { RecordVersion{ complete }, RecordVersion{ newest } };
    for (const auto& [key, value, version, removed] : rows) {
      news.mRows[i].push_back({ key, value, RecordVersion{ version }, removed });
    }
  }
  return news;
}

} // namespace bulrushrun
