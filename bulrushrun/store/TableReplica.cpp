#include "bulrushrun/store/TableReplica.h"

#include "bulrushrun/core/Hash.h"
#include "bulrushrun/store/CompressedText.h"

#include <algorithm>

namespace bulrushrun {

namespace {

/// Values of at least this size are compressed for peers.
constexpr std::size_t kMinCompressedBytes = 4096;

std::uint64_t digestOf(const StoreRow& aRow)
{
  return aRow.mRemoved ? 0 : combineHashes(hashText(aRow.mKey), aRow.mVersion.value());
}

} // namespace

void TableReplica::replaceRow(StoreRow& aKnown, const StoreRow& aRow)
{
  mDigest += digestOf(aRow) - digestOf(aKnown);
  if (aKnown.mRemoved) {
    mTombstones.erase({ aKnown.mVersion, aKnown.mKey });
  }
  if (aRow.mRemoved) {
    mTombstones.emplace(aRow.mVersion, aRow.mKey);
  }
  const RecordVersion versionBefore =
    aKnown.mRemoved ? aKnown.mVersionBeforeRemoval : aKnown.mVersion;
  aKnown = aRow;
  aKnown.mVersionBeforeRemoval = aRow.mRemoved ? versionBefore : RecordVersion{};
  if (aKnown.mValue.size() >= kMinCompressedBytes && aKnown.mCompressedValue == nullptr) {
    aKnown.mCompressedValue = std::make_shared<const std::string>(compressText(aKnown.mValue));
  }
  mNewestVersion = std::max(mNewestVersion, aRow.mVersion);
}

/// Without its tombstone, a row is still known to be removed up to the complete version.
void TableReplica::dropOldTombstones()
{
  while (mTombstones.size() > kMaxTombstones && mTombstones.begin()->first <= mCompleteVersion) {
    const auto oldest = mTombstones.begin();
    mRemovalsKnownFrom = std::max(mRemovalsKnownFrom, oldest->first);
    mRows.erase(oldest->second);
    mTombstones.erase(oldest);
  }
}

bool TableReplica::applyRow(const StoreRow& aRow)
{
  const auto [row, inserted] = mRows.try_emplace(aRow.mKey, StoreRow{ aRow.mKey, "", {}, true });
  if (!inserted && aRow.mVersion <= row->second.mVersion) {
    return false;
  }
  replaceRow(row->second, aRow);
  return true;
}

std::vector<StoreRow> TableReplica::apply(const std::vector<StoreRow>& aRows,
                                          RecordVersion aCompleteVersion)
{
  std::vector<StoreRow> applied;
  for (const StoreRow& row : aRows) {
    const bool removedBefore = row.mVersion <= mCompleteVersion && !mRows.contains(row.mKey);
    if (!removedBefore && applyRow(row)) {
      applied.push_back(row);
    }
  }
  mCompleteVersion = std::max(mCompleteVersion, aCompleteVersion);
  dropOldTombstones();
  return applied;
}

std::vector<StoreRow> TableReplica::applySnapshot(const std::vector<StoreRow>& aRows,
                                                  RecordVersion aVersion)
{
  std::vector<StoreRow> applied;
  std::set<std::string> snapshotKeys;
  // Unless removals since the snapshot may be unknown, a row of the snapshot exists, even if its
  // version was passed over before.
  const bool knowsLaterRemovals = mRemovalsKnownFrom <= aVersion || mCompleteVersion <= aVersion;
  for (const StoreRow& row : aRows) {
    snapshotKeys.insert(row.mKey);
    const bool mayBeRemoved =
      !knowsLaterRemovals && row.mVersion <= mCompleteVersion && !mRows.contains(row.mKey);
    if (!mayBeRemoved && applyRow(row)) {
      applied.push_back(row);
    }
  }
  for (auto row = mRows.begin(); row != mRows.end(); ++row) {
    StoreRow& known = row->second;
    if (!known.mRemoved && !snapshotKeys.contains(known.mKey) && known.mVersion <= aVersion) {
      replaceRow(known, { known.mKey, "", aVersion, true });
      applied.push_back(known);
    }
  }
  if (aVersion > mCompleteVersion) {
    mRemovalsKnownFrom = aVersion;
  }
  mCompleteVersion = std::max(mCompleteVersion, aVersion);
  dropOldTombstones();
  return applied;
}

/// A tombstone stays, since a later epoch may come from a copy that is older still. It gets the
/// version of the table: versions of another epoch have no meaning in this one.
EpochChanges TableReplica::replaceBy(const std::vector<StoreRow>& aRows,
                                     RecordVersion aVersion,
                                     StoreEpoch aEpoch)
{
  EpochChanges changes;
  std::set<std::string> keys;
  mNewestVersion = {};
  for (const StoreRow& row : aRows) {
    if (row.mRemoved) {
      continue;
    }
    keys.insert(row.mKey);
    const auto [found, inserted] = mRows.try_emplace(row.mKey, StoreRow{ row.mKey, "", {}, true });
    StoreRow& known = found->second;
    const RecordVersion versionBeforeRemoval = known.mVersionBeforeRemoval;
    const bool isReturned = known.mRemoved && row.mVersion <= versionBeforeRemoval;
    const bool differs =
      known.mRemoved || known.mVersion != row.mVersion || known.mValue != row.mValue;
    if (differs) {
      replaceRow(known, row);
      (isReturned ? changes.mReturned : changes.mChanged).push_back(known);
      if (isReturned) {
        changes.mReturned.back().mVersionBeforeRemoval = versionBeforeRemoval;
      }
    }
    mNewestVersion = std::max(mNewestVersion, row.mVersion);
  }
  for (auto row = mRows.begin(); row != mRows.end(); ++row) {
    StoreRow& known = row->second;
    if (keys.contains(known.mKey)) {
      continue;
    }
    const bool isLost = !known.mRemoved;
    replaceRow(known, { known.mKey, "", aVersion, true });
    if (isLost) {
      changes.mLost.push_back(known);
    }
  }
  mEpoch = aEpoch;
  mCompleteVersion = aVersion;
  mRemovalsKnownFrom = aVersion;
  dropOldTombstones();
  return changes;
}

void TableReplica::setEqualTo(RecordVersion aCompleteVersion, RecordVersion aRemovalsKnownFrom)
{
  mCompleteVersion = std::max(mCompleteVersion, aCompleteVersion);
  mRemovalsKnownFrom = std::max(mRemovalsKnownFrom, aRemovalsKnownFrom);
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
