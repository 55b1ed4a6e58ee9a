#pragma once

#include "bulrushrun/store/StoreRow.h"

#include <map>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief This instance's copy of one table, fed by the store and by peers. Pure.
///
/// The version of a row decides which of two reports is newer, so that news may come twice, late,
/// or from several sides. Removed rows are kept as such, so that an older report does not bring
/// them back.
class TableReplica
{
public:
  /// \brief Takes changes. A row that is unknown here though everything up to its version is known
  /// was removed since, and stays so.
  /// \param aCompleteVersion  with these rows, every change up to this version is known
  /// \returns those that are news, in the order given
  std::vector<StoreRow> apply(const std::vector<StoreRow>& aRows, RecordVersion aCompleteVersion);
  /// \brief Takes the whole table as of a version: what is missing there was removed.
  /// \returns what is news
  std::vector<StoreRow> applySnapshot(const std::vector<StoreRow>& aRows, RecordVersion aVersion);

  /// \brief \returns the rows that changed behind a version, in order of their versions.
  std::vector<StoreRow> changesSince(RecordVersion aVersion) const;
  /// \brief \returns the version up to which every change is known.
  RecordVersion completeVersion() const { return mCompleteVersion; }
  /// \brief \returns the newest version of any row.
  RecordVersion newestVersion() const { return mNewestVersion; }

private:
  bool applyRow(const StoreRow& aRow);

  std::map<std::string, StoreRow> mRows;
  RecordVersion mCompleteVersion;
  RecordVersion mNewestVersion;
};

} // namespace bulrushrun
