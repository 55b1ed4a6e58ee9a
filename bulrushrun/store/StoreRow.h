#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/store/StoreEpoch.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief One row of the row store, or the tombstone of a removed row.
struct StoreRow
{
  std::string mKey;
  std::string mValue;
  RecordVersion mVersion;
  bool mRemoved = false;
  /// The value as compressText() makes it, kept so that a large one is compressed once for all
  /// peers; null when it was not compressed.
  std::shared_ptr<const std::string> mCompressedValue = nullptr;
  /// In a replica's tombstone: newest version of the row before its removal; 0 if unknown.
  RecordVersion mVersionBeforeRemoval = {};
};

/// \brief Rows of one table at one version of the store.
struct RowBatch
{
  std::vector<StoreRow> mRows;
  /// Newest version of the store at the time of the response.
  RecordVersion mVersion;
  /// The store's steady clock at the time of the response, if it was stated.
  std::optional<Duration> mStoreTime;
  /// True when the range has further rows after these.
  bool mHasMore = false;
};

/// \brief \returns the first key of the next page: one that sorts after a row's key.
inline std::string keyAfter(const StoreRow& aRow)
{
  return aRow.mKey + '\x01';
}

/// \brief Status of a read from the row store.
enum class RowReadStatus
{
  Ok,
  /// The requested history is no longer available; the table must be read again.
  HistoryCompacted,
  /// No response, a rejection, or a response that can't be parsed.
  Unavailable,
};

/// \brief Result of a read from the row store.
struct RowReadResult
{
  RowReadStatus mStatus = RowReadStatus::Unavailable;
  /// Epoch of the store, stated in responses with any status; 0 if not stated.
  StoreEpoch mEpoch = {};
  RowBatch mBatch;
  /// Rows that were left out because they have no key or no version.
  std::size_t mUnreadableRows = 0;
  /// Reason of a failure, for the log.
  std::string mReason;
};

/// \brief Confirmation of a write to the row store.
struct RowWriteResult
{
  StoreEpoch mEpoch;
  /// Version of the written row.
  RecordVersion mVersion;
};

} // namespace bulrushrun
