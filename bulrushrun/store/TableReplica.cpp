#include "bulrushrun/store/TableReplica.h"

#include <algorithm>
#include <set>

namespace bulrushrun {

bool TableReplica::applyRow(const StoreRow& aRow)
{
  if (aRow.mVersion <= mCompleteVersion && !mRows.contains(aRow.mKey)) {
    return false;
  }
  const auto [row, inserted] = mRows.try_emplace(aRow.mKey, aRow);
  if (!inserted && aRow.mVersion <= row->second.mVersion) {
    return false;
  }
  row->second = aRow;
  mNewestVersion = std::max(mNewestVersion, aRow.mVersion);
  return true;
}

std::vector<StoreRow> TableReplica::apply(const std::vector<StoreRow>& aRows,
                                          RecordVersion aCompleteVersion)
{
  std::vector<StoreRow> applied;
  for (const StoreRow& row : aRows) {
    if (applyRow(row)) {
      applied.push_back(row);
    }
  }
  mCompleteVersion = std::max(mCompleteVersion, aCompleteVersion);
  return applied;
}

std::vector<StoreRow> TableReplica::applySnapshot(const std::vector<StoreRow>& aRows,
                                                  RecordVersion aVersion)
{
  std::vector<StoreRow> applied = apply(aRows, aVersion);
  std::set<std::string> snapshotKeys;
  for (const StoreRow& row : aRows) {
    snapshotKeys.insert(row.mKey);
  }
  for (auto row = mRows.begin(); row != mRows.end(); ++row) {
    StoreRow& known = row->second;
    if (!known.mRemoved && !snapshotKeys.contains(known.mKey) && known.mVersion <= aVersion) {
      known = { known.mKey, "", aVersion, true };
      mNewestVersion = std::max(mNewestVersion, aVersion);
      applied.push_back(known);
    }
  }
  return applied;
}

std::vector<StoreRow> TableReplica::changesSince(RecordVersion aVersion) const
{
  std::vector<StoreRow> changes;
  for (const auto& [key, row] : mRows) {
    if (row.mVersion > aVersion) {
      changes.push_back(row);
    }
  }
  std::sort(changes.begin(), changes.end(), [](const StoreRow& aLeft, const StoreRow& aRight) {
    return aLeft.mVersion < aRight.mVersion;
  });
  return changes;
}

} // namespace bulrushrun
