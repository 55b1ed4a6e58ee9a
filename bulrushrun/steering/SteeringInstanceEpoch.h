#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: epochs of the store, which rise when it comes back from an older copy.

namespace bulrushrun {

/// The tables stay in use until those of the new epoch have been read. Requests of peers state
/// epochs, too, but are not signed, and an epoch that does not exist would stop all reading of the
/// store.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::observeEpoch(StoreEpoch aEpoch,
                                                       const std::string& aSource)
{
  const StoreEpoch before = mEpochs.epoch();
  const std::uint64_t risesBefore = mEpochs.rises();
  if (!mEpochs.observe(aEpoch)) {
    return;
  }
  for (FeedReader& feedReader : mFeedReaders) {
    feedReader.requireEpoch(aEpoch);
  }
  if (mEpochs.rises() == risesBefore) {
    return;
  }
  mHost.log(events::kEpochRaised,
            "epoch=" + std::to_string(aEpoch.value()) +
              " before=" + std::to_string(before.value()) + " source=" + aSource);
  mPlacementArchive.saveAgain();
  const Duration delay{ static_cast<std::int64_t>(
    mHost.random().below(static_cast<std::uint64_t>(kRewriteSpread.count()))) };
  mHost.after(delay, [this, aEpoch] { rewriteRegistration(aEpoch); });
}

/// Writes this instance's registration again, which the older copy may lack. Its incarnation stays.
/// A later rise of the epoch writes it once more.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::rewriteRegistration(StoreEpoch aEpoch)
{
  if (aEpoch != mEpochs.epoch() || mDrain.isDraining()) {
    return;
  }
  ++mRegistrationCalls;
  startBufferedExchange(
    mHost,
    mSettings.mStore,
    StoreProtocol::makeWriteRequest(
      Adapter::kInstanceTable, mSettings.mInstance.text(), ownRegistration()),
    kStoreCallTimeout,
    kMaxResponseBytes,
    [this, aEpoch](ExchangeResult aResult, const HttpResponse& aResponse) {
      const std::optional<RowWriteResult> written = aResult == ExchangeResult::Complete
                                                      ? StoreProtocol::parseWriteResponse(aResponse)
                                                      : std::nullopt;
      if (!written) {
        mHost.after(kStoreRetryDelay, [this, aEpoch] { rewriteRegistration(aEpoch); });
      } else {
        observeEpoch(written->mEpoch, "store");
      }
    });
}

/// Targets that the older copy lacks are treated as after a loss of their heartbeats. Rows of the
/// operator that it lacks stay in force, and lost removals count: the operator's last confirmed
/// word holds until the operator writes again. The route plan's own version decides between plans.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::replaceTable(ReplicatedTable aTable,
                                                       const std::string& aSource,
                                                       const Table& aRows,
                                                       RecordVersion aVersion,
                                                       StoreEpoch aEpoch)
{
  TableReplica& replica = mReplicas[static_cast<std::size_t>(aTable)];
  const std::string from = std::to_string(replica.completeVersion().value());
  EpochChanges changes = replica.replaceBy(aRows, aVersion, aEpoch);
  mHost.log(events::kTableReplaced,
            "table=" + tableText(aTable) + " source=" + aSource +
              " epoch=" + std::to_string(aEpoch.value()) + " from=" + from +
              " to=" + std::to_string(aVersion.value()) + " rows=" + std::to_string(aRows.size()) +
              " changed=" + std::to_string(changes.mChanged.size()) +
              " lost=" + std::to_string(changes.mLost.size()) +
              " returned=" + std::to_string(changes.mReturned.size()));
  Table followed = std::move(changes.mChanged);
  for (const StoreRow& row : changes.mLost) {
    if (aTable == ReplicatedTable::Targets) {
      followed.push_back(row);
    } else {
      logNotFollowed(aTable, row, "lost");
    }
  }
  for (const StoreRow& row : changes.mReturned) {
    if (isReturnedRowFollowed(aTable, row)) {
      followed.push_back(row);
    } else {
      logNotFollowed(aTable, row, "returned");
    }
  }
  onTableChanges(aTable, followed);
}

/// A target writes its row again with its next heartbeat, so that ignoring a new one for so long
/// costs little. An evacuation is written once; ignoring a new one would send requests to a zone
/// that is about to go.
template<class HostType, class Adapter>
bool SteeringInstance<HostType, Adapter>::isReturnedRowFollowed(ReplicatedTable aTable,
                                                                const StoreRow& aRow) const
{
  const bool isEvacuation = Adapter::parseEvacuatedZone(aRow.mKey).has_value();
  return aTable == ReplicatedTable::Operator &&
         (!isEvacuation || aRow.mVersion != aRow.mVersionBeforeRemoval);
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::logNotFollowed(ReplicatedTable aTable,
                                                         const StoreRow& aRow,
                                                         const char* aReason)
{
  mHost.log(events::kRowNotFollowed,
            "table=" + tableText(aTable) + " key=" + aRow.mKey + " reason=" + aReason);
}

/// \returns true when the peer's changes are of this table's epoch. Others are not applied, except
/// the whole table of a newer epoch.
template<class HostType, class Adapter>
bool SteeringInstance<HostType, Adapter>::adoptPeerEpoch(ReplicatedTable aTable,
                                                         const PeerChanges& aChanges,
                                                         const Endpoint& aPeer)
{
  const std::size_t index = static_cast<std::size_t>(aTable);
  const TableProgress& progress = aChanges.mProgress[index];
  const bool isRead = progress.mCompleteVersion != RecordVersion{};
  const std::string source = "peer peer=" + aPeer.text();
  if (isRead || progress.mEpoch != StoreEpoch{}) {
    observeEpoch(progress.mEpoch, source);
  }
  if (progress.mEpoch < mEpochs.epoch()) {
    return false;
  }
  if (progress.mEpoch == mReplicas[index].epoch()) {
    return true;
  }
  const bool isWholeTable =
    isRead && aChanges.mRequested[index].mCompleteVersion == RecordVersion{};
  if (!isWholeTable) {
    return false;
  }
  setCurrent(aTable, mHost.now() - aChanges.mStaleness);
  mStoreNeeded[index] = false;
  mUnprovenResponses[index] = 0;
  mFeedReaders[index].advanceTo(progress.mEpoch, progress.mCompleteVersion);
  replaceTable(aTable, source, aChanges.mRows[index], progress.mCompleteVersion, progress.mEpoch);
  return false;
}

} // namespace bulrushrun
