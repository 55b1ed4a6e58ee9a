#pragma once

#include "bulrushrun/core.h"

#include <string>
#include <vector>

namespace bulrushrun {

/// \brief One row of the rows store, or the news that it was removed.
struct StoreRow
{
  std::string mKey;
  std::string mValue;
  RecordVersion mVersion;
  bool mRemoved = false;
};

/// \brief Rows of one table as of one version of the store.
struct RowBatch
{
  std::vector<StoreRow> mRows;
  /// Newest version of the store at the time of the answer.
  RecordVersion mVersion;
  /// True when the range holds further rows.
  bool mHasMore = false;
};

/// \brief \returns the smallest key that sorts behind a row's, where the next page begins.
inline std::string keyAfter(const StoreRow& aRow)
{
  return aRow.mKey + '\x01';
}

/// \brief How a read of the rows store ended.
enum class RowReadStatus
{
  Ok,
  /// The requested history is no longer available; the table must be read anew.
  HistoryGone,
  /// No answer, a refusal, or an answer that can't be read.
  Unavailable,
};

/// \brief Result of one read.
struct RowReadResult
{
  RowReadStatus mStatus = RowReadStatus::Unavailable;
  RowBatch mBatch;
  /// Why the read failed, for the log.
  std::string mReason;
};

} // namespace bulrushrun
