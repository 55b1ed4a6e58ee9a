#include "bulrushrun/store/PeerReplicationCodec.h"

#include "bulrushrun/core/MessagePack.h"
#include "bulrushrun/store/CompressedText.h"
#include "bulrushrun/store/SignedPayload.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace bulrushrun {

namespace {

/// Longer durations in a request are clamped to this one, which is 24 h.
constexpr std::uint64_t kMaxMillis = 86'400'000;
/// Bytes into which the values of one response may be decompressed.
constexpr std::uint64_t kMaxDecompressedBytes = std::uint64_t{ 16 } * 1024 * 1024;
/// Numbers in the query: two versions per table, the staleness and the maximum wait. Newer
/// instances append whether they read compressed values; older ones ignore that. The epochs of the
/// tables follow unless all are 0; an instance that does not know them then sends no compressed
/// values.
constexpr std::size_t kRequestNumbers = 2 * kReplicatedTables + 2;

/// Key, value, version, whether it is removed, and one more than the length of the value if that is
/// compressed; zero if not, or from an older instance.
using WireRow = std::tuple<std::string, std::string, std::uint64_t, bool, std::uint64_t>;
/// Complete version, newest version, rows, version from which removals are known, digest, epoch.
/// Items that an older instance does not send are zero.
using WireTable = std::tuple<std::uint64_t,
                             std::uint64_t,
                             std::vector<WireRow>,
                             std::uint64_t,
                             std::uint64_t,
                             std::uint64_t>;
/// Staleness in milliseconds, tables, and one more than the milliseconds for which the request was
/// held; zero from an older instance.
using WireChanges = std::tuple<std::int64_t, std::vector<WireTable>, std::int64_t>;

WireTable toWire(const TableProgress& aProgress,
                 const std::vector<StoreRow>& aRows,
                 const ReplicaSummary& aSummary,
                 bool aCompress)
{
  std::vector<WireRow> rows;
  rows.reserve(aRows.size());
  for (const StoreRow& row : aRows) {
    const bool isCompressed = aCompress && row.mCompressedValue != nullptr;
    rows.emplace_back(row.mKey,
                      isCompressed ? *row.mCompressedValue : row.mValue,
                      row.mVersion.value(),
                      row.mRemoved,
                      isCompressed ? row.mValue.size() + 1 : 0);
  }
  return { aProgress.mCompleteVersion.value(),
           aProgress.mNewestVersion.value(),
           std::move(rows),
           aSummary.mRemovalsKnownFrom.value(),
           aSummary.mDigest,
           aProgress.mEpoch.value() };
}

/// \param aBytesLeft  bytes into which values may still be decompressed
/// \returns the row, or nothing when its value can't be decompressed.
std::optional<StoreRow> fromWire(const WireRow& aWire, std::uint64_t& aBytesLeft)
{
  const auto& [key, value, version, removed, lengthPlusOne] = aWire;
  StoreRow row{ key, value, RecordVersion{ version }, removed };
  if (lengthPlusOne == 0) {
    return row;
  }
  if (lengthPlusOne > aBytesLeft) {
    return std::nullopt;
  }
  aBytesLeft -= lengthPlusOne;
  std::optional<std::string> text = decompressText(value, lengthPlusOne);
  if (!text || text->size() + 1 != lengthPlusOne) {
    return std::nullopt;
  }
  row.mValue = std::move(*text);
  row.mCompressedValue = std::make_shared<const std::string>(value);
  return row;
}

} // namespace

std::string peerChangesPath(const PeerChangesRequest& aRequest)
{
  std::string path = std::string{ kPeerChangesPath } + "?";
  for (const TableProgress& table : aRequest.mProgress) {
    path += std::to_string(table.mCompleteVersion.value()) + "," +
            std::to_string(table.mNewestVersion.value()) + ",";
  }
  path += std::to_string(toMillis(aRequest.mStaleness)) + "," +
          std::to_string(toMillis(aRequest.mMaxWait)) + "," +
          (aRequest.mAcceptsCompressed ? "1" : "0");
  const bool hasEpochs =
    std::any_of(aRequest.mProgress.begin(),
                aRequest.mProgress.end(),
                [](const TableProgress& aTable) { return aTable.mEpoch != StoreEpoch{}; });
  for (const TableProgress& table : aRequest.mProgress) {
    path += hasEpochs ? "," + std::to_string(table.mEpoch.value()) : "";
  }
  return path;
}

std::optional<PeerChangesRequest> parsePeerChangesRequest(const std::string& aPath)
{
  const std::string prefix = std::string{ kPeerChangesPath } + "?";
  if (!aPath.starts_with(prefix)) {
    return std::nullopt;
  }
  std::array<std::uint64_t, kRequestNumbers> numbers{};
  const char* position = aPath.data() + prefix.size();
  const char* end = aPath.data() + aPath.size();
  const auto readNumber = [&position, end](std::uint64_t& aNumber) {
    const std::from_chars_result result = std::from_chars(position, end, aNumber);
    position = result.ptr == end ? end : result.ptr + 1;
    return result.ec == std::errc{};
  };
  if (!std::all_of(numbers.begin(), numbers.end(), readNumber)) {
    return std::nullopt;
  }
  PeerChangesRequest request;
  const std::string_view options{ position, end };
  request.mAcceptsCompressed = options == "1" || options.starts_with("1,");
  std::uint64_t acceptsCompressed = 0;
  std::array<std::uint64_t, kReplicatedTables> epochs{};
  if (readNumber(acceptsCompressed) && std::all_of(epochs.begin(), epochs.end(), readNumber)) {
    for (std::size_t i = 0; i < kReplicatedTables; ++i) {
      request.mProgress[i].mEpoch = StoreEpoch{ epochs[i] };
    }
  }
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    request.mProgress[i].mCompleteVersion = RecordVersion{ numbers[2 * i] };
    request.mProgress[i].mNewestVersion = RecordVersion{ numbers[2 * i + 1] };
  }
  const auto millis = [](std::uint64_t aNumber) {
    return std::chrono::milliseconds(std::min(aNumber, kMaxMillis));
  };
  request.mStaleness = millis(numbers[2 * kReplicatedTables]);
  request.mMaxWait = millis(numbers[2 * kReplicatedTables + 1]);
  return request;
}

std::string encodePeerChanges(const PeerChanges& aChanges, const std::string& aKey)
{
  std::vector<WireTable> tables;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    tables.push_back(toWire(aChanges.mProgress[i],
                            aChanges.mRows[i],
                            aChanges.mSummaries[i],
                            aChanges.mAcceptsCompressed));
  }
  const std::int64_t held = aChanges.mHeld ? toMillis(*aChanges.mHeld) + 1 : 0;
  const std::string payload =
    packMessage(WireChanges{ toMillis(aChanges.mStaleness), std::move(tables), held });
  return signPayload(payload, aKey);
}

std::optional<PeerChanges> decodePeerChanges(std::string_view aBytes,
                                             const std::vector<std::string>& aKeys)
{
  const std::optional<std::string_view> payload = verifyPayload(aBytes, aKeys);
  const std::optional<WireChanges> wire =
    payload ? unpackMessage<WireChanges>(*payload) : std::optional<WireChanges>{};
  if (!wire || std::get<1>(*wire).size() != kReplicatedTables) {
    return std::nullopt;
  }
  PeerChanges changes;
  changes.mStaleness = std::chrono::milliseconds(std::max<std::int64_t>(std::get<0>(*wire), 0));
  if (std::get<2>(*wire) > 0) {
    changes.mHeld = std::chrono::milliseconds(std::get<2>(*wire) - 1);
  }
  std::uint64_t bytesLeft = kMaxDecompressedBytes;
  for (std::size_t i = 0; i < kReplicatedTables; ++i) {
    const auto& [complete, newest, rows, removalsKnownFrom, digest, epoch] = std::get<1>(*wire)[i];
    changes.mSummaries[i] = { RecordVersion{ removalsKnownFrom }, digest };
    changes.mProgress[i] = { RecordVersion{ complete },
                             RecordVersion{ newest },
                             StoreEpoch{ epoch } };
    for (const WireRow& wireRow : rows) {
      std::optional<StoreRow> row = fromWire(wireRow, bytesLeft);
      if (!row) {
        return std::nullopt;
      }
      changes.mRows[i].push_back(std::move(*row));
    }
  }
  return changes;
}

} // namespace bulrushrun
