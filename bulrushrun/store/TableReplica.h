#pragma once

#include "bulrushrun/store/StoreRow.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Differences between a replica and the table of a newer epoch. Each row that differs is in
/// one of the lists.
struct EpochChanges
{
  /// Rows that were added or that have another version or value.
  std::vector<StoreRow> mChanged;
  /// Tombstones of rows that the newer epoch lacks; the replica did not know of their removal.
  std::vector<StoreRow> mLost;
  /// Rows that the replica knew to be removed, in a version that is not newer than the last one
  /// before the removal, which is stated, too. If both are equal, the removal is lost, and nobody
  /// has written the row since. A lower one may be older, or new, since versions are issued again.
  std::vector<StoreRow> mReturned;
};

/// \brief This instance's replica of one table, updated from the store and from peers. Does no I/O.
///
/// Changes may arrive repeatedly, late and from several sources: a change is applied only if its
/// version is newer than that of the row. Removed rows are kept as tombstones, so that an older
/// change does not restore them; the oldest are dropped. A read of the table does not tell which
/// rows were removed before it, so a replica knows all removals only from removalsKnownFrom() on.
///
/// All rows and versions are of one epoch of the store. A newer epoch replaces the table as a
/// whole.
class TableReplica
{
public:
  /// \brief Applies changes. A change of an unknown row is ignored if every change up to its
  /// version has been applied, because the row has been removed since.
  /// \param aCompleteVersion  with these rows, every change up to this version has been received,
  /// removals included
  /// \returns the changes that were applied, in the order given
  std::vector<StoreRow> apply(const std::vector<StoreRow>& aRows, RecordVersion aCompleteVersion);
  /// \brief Applies the complete table at a version: rows that it lacks are marked as removed,
  /// unless their version is newer.
  /// \returns the changes that were applied
  std::vector<StoreRow> applySnapshot(const std::vector<StoreRow>& aRows, RecordVersion aVersion);
  /// \brief Replaces the table by the complete one of a newer epoch, whatever its versions are.
  EpochChanges replaceBy(const std::vector<StoreRow>& aRows,
                         RecordVersion aVersion,
                         StoreEpoch aEpoch);
  /// \brief Records that the rows equal those of another replica at a version.
  /// \param aRemovalsKnownFrom  version from which the other replica knows all removals
  void setEqualTo(RecordVersion aCompleteVersion, RecordVersion aRemovalsKnownFrom);

  /// \brief \returns the rows with a newer version than this, sorted by version.
  std::vector<StoreRow> changesSince(RecordVersion aVersion) const;
  /// \brief \returns the epoch of the store to which the rows and versions belong.
  StoreEpoch epoch() const { return mEpoch; }
  /// \brief \returns the version up to which every change has been received.
  RecordVersion completeVersion() const { return mCompleteVersion; }
  /// \brief \returns the newest version of any row.
  RecordVersion newestVersion() const { return mNewestVersion; }
  /// \brief \returns the version after which every removal is known; changesSince() an older
  /// version may lack removals.
  RecordVersion removalsKnownFrom() const { return mRemovalsKnownFrom; }
  /// \brief \returns a digest of the keys and versions of all rows that are not removed.
  std::uint64_t digest() const { return mDigest; }

  /// \brief Tombstones that are kept; of those up to the complete version, older ones are dropped.
  static constexpr std::size_t kMaxTombstones = 4096;

private:
  void dropOldTombstones();
  bool applyRow(const StoreRow& aRow);
  void replaceRow(StoreRow& aKnown, const StoreRow& aRow);

  std::map<std::string, StoreRow> mRows;
  /// Versions and keys of the removed rows.
  std::set<std::pair<RecordVersion, std::string>> mTombstones;
  StoreEpoch mEpoch;
  RecordVersion mCompleteVersion;
  RecordVersion mNewestVersion;
  RecordVersion mRemovalsKnownFrom;
  /// Sum of the hashes of all rows, so that a change costs O(1).
  std::uint64_t mDigest = 0;
};

} // namespace bulrushrun
