#include "bulrushrun/store/PeerNews.h"

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
constexpr std::size_t kQuestionNumbers = 2 * kNewsTables + 2;

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
  return { aProgress.mComplete.value(), aProgress.mNewest.value(), std::move(rows) };
}

} // namespace

std::string peerNewsPath(const PeerNewsQuestion& aQuestion)
{
  std::string path = std::string{ kPeerNewsPath } + "?";
  for (const TableProgress& table : aQuestion.mProgress) {
    path +=
      std::to_string(table.mComplete.value()) + "," + std::to_string(table.mNewest.value()) + ",";
  }
  return path + std::to_string(toMillis(aQuestion.mAge)) + "," +
         std::to_string(toMillis(aQuestion.mWait));
}

std::optional<PeerNewsQuestion> readPeerNewsQuestion(const std::string& aPath)
{
  const std::string prefix = std::string{ kPeerNewsPath } + "?";
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
  PeerNewsQuestion question;
  for (std::size_t i = 0; i < kNewsTables; ++i) {
    question.mProgress[i] = { RecordVersion{ numbers[2 * i] },
                              RecordVersion{ numbers[2 * i + 1] } };
  }
  const auto millis = [](std::uint64_t aNumber) {
    return std::chrono::milliseconds(std::min(aNumber, kMaxMillis));
  };
  question.mAge = millis(numbers[2 * kNewsTables]);
  question.mWait = millis(numbers[2 * kNewsTables + 1]);
  return question;
}

std::string encodePeerNews(const PeerNews& aNews, const std::string& aKey)
{
  std::vector<WireTable> tables;
  for (std::size_t i = 0; i < kNewsTables; ++i) {
    tables.push_back(toWire(aNews.mProgress[i], aNews.mRows[i]));
  }
  const std::string payload = packMessage(WireNews{ toMillis(aNews.mAge), std::move(tables) });
  return messageCode(aKey, payload) + payload;
}

std::optional<PeerNews> decodePeerNews(std::string_view aBytes,
                                       const std::vector<std::string>& aKeys)
{
  if (aBytes.size() <= kCodeBytes) {
    return std::nullopt;
  }
  const std::string_view code = aBytes.substr(0, kCodeBytes);
  const std::string_view payload = aBytes.substr(kCodeBytes);
  const bool authentic = std::any_of(aKeys.begin(), aKeys.end(), [&](const std::string& aKey) {
    return equalSecrets(messageCode(aKey, payload), code);
  });
  const std::optional<WireNews> wire =
    authentic ? unpackMessage<WireNews>(payload) : std::optional<WireNews>{};
  if (!wire || std::get<1>(*wire).size() != kNewsTables) {
    return std::nullopt;
  }
  PeerNews news;
  news.mAge = std::chrono::milliseconds(std::max<std::int64_t>(std::get<0>(*wire), 0));
  for (std::size_t i = 0; i < kNewsTables; ++i) {
    const auto& [complete, newest, rows] = std::get<1>(*wire)[i];
    news.mProgress[i] = { RecordVersion{ complete }, RecordVersion{ newest } };
    for (const auto& [key, value, version, removed] : rows) {
      news.mRows[i].push_back({ key, value, RecordVersion{ version }, removed });
    }
  }
  return news;
}

} // namespace bulrushrun
