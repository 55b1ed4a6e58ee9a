#pragma once

#include "bulrushrun/steering/SteeringInstance.h"

/// \file
/// \brief SteeringInstance: how the store's tables are read, followed and told.

namespace bulrushrun {

template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::tightestBound() const
{
  return std::min(mSettings.mBounds.mDrain, mSettings.mBounds.mConfigurationApply);
}

/// Readers hear from the store this often, and the others from them, even when nothing changed.
template<class HostType, class Adapter>
Duration SteeringInstance<HostType, Adapter>::newsPeriod() const
{
  return fromSeconds(kPeriodShare * toSeconds(tightestBound()));
}

template<class HostType, class Adapter>
SteeringInstance<HostType, Adapter>::SteeringInstance(HostType& aHost,
                                                      const SteeringSettings& aSettings,
                                                      std::function<void(std::size_t)> aOnExit)
  : mHost(aHost)
  , mSettings(aSettings)
  , mCarrier(aHost, mView)
  , mEarlyRequests(aHost,
                   [this](HttpRequest aRequest, ResponderPtr aResponder, TimePoint aArrived) {
                     mCarrier.accept(std::move(aRequest), std::move(aResponder), aArrived);
                   })
  , mEarlyLookups(aHost,
                  [this](const HttpRequest& aRequest, const ResponderPtr& aResponder, TimePoint) {
                    answerLookup(aRequest, aResponder);
                  })
  , mFollowers{ Follower{ aHost,
                          aSettings.mStore,
                          Adapter::kOperatorTable,
                          { newsPeriod(), newsPeriod() / 2 },
                          tableListener(NewsTable::Operator) },
                Follower{ aHost,
                          aSettings.mStore,
                          Adapter::kTargetTable,
                          { newsPeriod(), newsPeriod() / 2 },
                          tableListener(NewsTable::Targets) } }
  , mNews(aHost,
          aSettings.mPeerKeys,
          newsPeriod(),
          { [this] { return known(); },
            [this](const NewsProgress& aProgress) { return tell(aProgress); },
            [this](const PeerNews& aNews) { hear(aNews); },
            [this](bool aDisappointed) { return choosePeer(aDisappointed); } })
  , mDrain(aHost, aSettings.mBounds.mGrace - kExitMargin, drainSteps(std::move(aOnExit)))
{
  mView.mContext.mZones = ZoneMap{ mSettings.mZone, mSettings.mRegions };
  setBounds(mSettings.mBounds);
  mCarrier.setOnTargetNews(
    [this](const TargetId& aTarget, const AnswerFacts& aFacts) { onTargetNews(aTarget, aFacts); });
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setBounds(const FleetBounds& aBounds)
{
  mSettings.mBounds = aBounds;
  mView.mRetryBound = { aBounds.mRetryRatio, aBounds.mRetrySlack, aBounds.mRetryWindow };
  mView.mColdFactor = aBounds.mColdFactor;
  mView.mColdSlack = aBounds.mColdSlack;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::start()
{
  mHost.log(events::kInstanceStarted, "listen=" + mSettings.mListen.text());
  for (Follower& follower : mFollowers) {
    follower.start();
  }
  readInstances("");
  sweep();
}

template<class HostType, class Adapter>
TableListener SteeringInstance<HostType, Adapter>::tableListener(NewsTable aTable)
{
  const std::size_t index = static_cast<std::size_t>(aTable);
  const std::string name =
    std::string("table=") + (aTable == NewsTable::Operator ? "operator" : "targets");
  TableListener listener;
  listener.mOnSnapshot = [this, aTable, index](const Table& aRows, RecordVersion aVersion) {
    setCurrent(aTable, mHost.now());
    onNews(aTable, mCopies[index].applySnapshot(aRows, aVersion));
  };
  listener.mOnChanges = [this, aTable, index](const Table& aRows) {
    setCurrent(aTable, mHost.now());
    onNews(aTable, mCopies[index].apply(aRows, mFollowers[index].version()));
  };
  listener.mOnAvailability = [this, index, name](bool aAvailable, const std::string& aReason) {
    startNews();
    mHost.log(aAvailable ? events::kFeedRegained : events::kFeedLost,
              name + " version=" + std::to_string(mCopies[index].complete().value()) +
                (aAvailable ? "" : " reason=\"" + aReason + "\""));
  };
  return listener;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::setCurrent(NewsTable aTable, TimePoint aWhen)
{
  const std::size_t index = static_cast<std::size_t>(aTable);
  mCurrentAt[index] = std::max(mCurrentAt[index], aWhen);
  mView.mCurrentAt = mCurrentAt[static_cast<std::size_t>(NewsTable::Targets)];
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::onNews(NewsTable aTable, const Table& aNews)
{
  for (const StoreRow& row : aNews) {
    if (aTable == NewsTable::Operator) {
      onOperatorRow(row);
    } else {
      onTargetRow(row);
    }
  }
  if (aTable == NewsTable::Targets && mCurrentAt[static_cast<std::size_t>(aTable)] != TimePoint{}) {
    mView.mTargets.setComplete();
  }
  if (isInformed()) {
    mEarlyRequests.release();
    mEarlyLookups.release();
  }
  if (areTablesRead()) {
    startNews();
  }
  mNews.answerWaiting();
  joinPeers();
}

template<class HostType, class Adapter>
bool SteeringInstance<HostType, Adapter>::areTablesRead() const
{
  return std::none_of(
    mCurrentAt.begin(), mCurrentAt.end(), [](TimePoint aWhen) { return aWhen == TimePoint{}; });
}

/// Peers tell changes. Whole tables come from the store, which many instances may read at once,
/// unless it does not answer: each of a few peers would have to send them to a large part of the
/// fleet.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::startNews()
{
  if (!std::exchange(mNewsStarted, true)) {
    mNews.start();
  }
}

template<class HostType, class Adapter>
PeerNewsQuestion SteeringInstance<HostType, Adapter>::known() const
{
  PeerNewsQuestion own;
  const TimePoint now = mHost.now();
  for (std::size_t i = 0; i < kNewsTables; ++i) {
    own.mProgress[i] = { mCopies[i].complete(), mCopies[i].newest() };
    own.mAge = std::max(own.mAge, now - mCurrentAt[i]);
  }
  return own;
}

template<class HostType, class Adapter>
PeerNews SteeringInstance<HostType, Adapter>::tell(const NewsProgress& aProgress) const
{
  PeerNews news;
  const PeerNewsQuestion own = known();
  news.mAge = own.mAge;
  news.mProgress = own.mProgress;
  for (std::size_t i = 0; i < kNewsTables; ++i) {
    if (aProgress[i] != news.mProgress[i]) {
      news.mRows[i] = mCopies[i].changesSince(aProgress[i].mComplete);
    }
  }
  return news;
}

template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::hear(const PeerNews& aNews)
{
  const TimePoint currentAt = mHost.now() - aNews.mAge;
  for (std::size_t i = 0; i < kNewsTables; ++i) {
    const NewsTable table = static_cast<NewsTable>(i);
    if (aNews.mProgress[i].mComplete > RecordVersion{}) {
      setCurrent(table, currentAt);
    }
    mFollowers[i].skipTo(aNews.mProgress[i].mComplete);
    onNews(table, mCopies[i].apply(aNews.mRows[i], aNews.mProgress[i].mComplete));
  }
}

/// Few instances read the store for all; one whose news grows old reads for itself.
template<class HostType, class Adapter>
void SteeringInstance<HostType, Adapter>::chooseSource()
{
  const Duration stale = fromSeconds(kStaleShare * toSeconds(tightestBound()));
  const bool joined = mGossip && mHost.now() - mRegisteredAt >= kJoinSpan;
  const bool appointed = joined && mRoles.isReader(mSettings.mInstance);
  const bool reader = appointed || (areTablesRead() && known().mAge > stale);
  for (Follower& follower : mFollowers) {
    follower.setActive(reader);
  }
}

} // namespace bulrushrun
