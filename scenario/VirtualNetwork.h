#pragma once

#include "bulrushrun/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace bulrushrun::scenario {

using NodeIndex = std::size_t;

/// \brief Virtual time, delays between zones, partitions, and the state of each node's process.
///
/// All callbacks of a node are scheduled here: they are dropped once that incarnation of the node
/// has ended, and deferred while the node is paused.
class VirtualNetwork
{
public:
  VirtualNetwork(const Document& aDocument, std::uint64_t aSeed)
    : mDocument(aDocument)
    , mRandom(aSeed)
  {
  }

  TimePoint now() const { return mNow; }
  Random& random() { return mRandom; }

  /// \brief Runs \a aCallback after a delay, independent of the state of any node.
  TimerId after(Duration aDelay, std::function<void()> aCallback)
  {
    return mEvents.add(mNow + aDelay, std::move(aCallback));
  }
  void cancel(TimerId aTimer) { mEvents.cancel(aTimer); }
  /// \brief Runs \a aCallback after a delay on the current incarnation of a node.
  TimerId atNode(NodeIndex aNode, Duration aDelay, std::function<void()> aCallback)
  {
    const std::uint64_t incarnation = mNodes[aNode].mIncarnation;
    return after(aDelay, [this, aNode, incarnation, callback = std::move(aCallback)] {
      runOn(aNode, incarnation, callback);
    });
  }
  /// \brief Advances virtual time to \a aEnd and runs all events that are due by then.
  void runUntil(TimePoint aEnd)
  {
    while (mEvents.nextDue() && *mEvents.nextDue() <= aEnd) {
      mNow = *mEvents.nextDue();
      mEvents.runOne(mNow);
    }
    mNow = aEnd;
  }

  /// \brief Adds a node. \returns its index.
  NodeIndex addNode(const ZoneName& aZone)
  {
    mNodes.push_back({ aZone, 1, true, false, {} });
    return mNodes.size() - 1;
  }
  const ZoneName& zoneOf(NodeIndex aNode) const { return mNodes[aNode].mZone; }
  bool isUp(NodeIndex aNode) const { return mNodes[aNode].mUp; }
  bool isPaused(NodeIndex aNode) const { return mNodes[aNode].mPaused; }
  /// \brief Ends the current incarnation of a node: none of its callbacks runs any more.
  void kill(NodeIndex aNode)
  {
    mNodes[aNode].mUp = false;
    mNodes[aNode].mPaused = false;
    mNodes[aNode].mDeferred.clear();
    ++mNodes[aNode].mIncarnation;
  }
  /// \brief Starts a new incarnation of a node.
  void revive(NodeIndex aNode) { mNodes[aNode].mUp = true; }
  void pause(NodeIndex aNode) { mNodes[aNode].mPaused = mNodes[aNode].mUp; }
  /// \brief Resumes a paused node: runs the deferred callbacks in their order.
  void resume(NodeIndex aNode)
  {
    mNodes[aNode].mPaused = false;
    const std::vector<std::function<void()>> deferred = std::exchange(mNodes[aNode].mDeferred, {});
    const std::uint64_t incarnation = mNodes[aNode].mIncarnation;
    for (const std::function<void()>& callback : deferred) {
      runOn(aNode, incarnation, callback);
    }
  }

  /// \brief Partitions a zone from all others and from the platform, or reconnects it.
  void setCut(const ZoneName& aZone, bool aCut)
  {
    aCut ? (void)mCutZones.insert(aZone) : (void)mCutZones.erase(aZone);
    mLastCut[aZone] = mNow;
  }
  /// \brief \returns when a zone was last partitioned; the current time while it still is.
  TimePoint lastCut(const ZoneName& aZone) const
  {
    const auto found = mLastCut.find(aZone);
    if (found == mLastCut.end()) {
      return TimePoint{};
    }
    return mCutZones.contains(aZone) ? mNow : found->second;
  }
  /// \brief Disconnects a zone from the platform, or reconnects it.
  void setCutFromPlatform(const ZoneName& aZone, bool aCut)
  {
    aCut ? (void)mCutFromPlatform.insert(aZone) : (void)mCutFromPlatform.erase(aZone);
  }
  bool isCut(const ZoneName& aFirst, const ZoneName& aSecond) const
  {
    return aFirst != aSecond && (mCutZones.contains(aFirst) || mCutZones.contains(aSecond));
  }
  bool isCutFromPlatform(const ZoneName& aZone) const
  {
    return mCutZones.contains(aZone) || mCutFromPlatform.contains(aZone);
  }
  /// \brief \returns true when both zones are known and lie in different regions.
  bool isOtherRegion(const ZoneName& aFirst, const ZoneName& aSecond) const
  {
    const Region* first = mDocument.regionOf(aFirst);
    const Region* second = mDocument.regionOf(aSecond);
    return first != nullptr && second != nullptr && first != second;
  }
  /// \brief Sets the share of messages between peers that are lost.
  void setLoss(double aLoss) { mLoss = aLoss; }
  double loss() const { return mLoss; }

  /// \brief \returns the one-way delay between two zones, with up to 20 % of random jitter.
  Duration delay(const ZoneName& aFirst, const ZoneName& aSecond)
  {
    const Duration base =
      std::max(mDocument.delayBetween(aFirst, aSecond), Duration{ kDelayInZone });
    return base + fromSeconds(toSeconds(base) * 0.2 * mRandom.unit());
  }

private:
  static constexpr std::int64_t kDelayInZone = 100;

  struct Node
  {
    ZoneName mZone;
    std::uint64_t mIncarnation = 1;
    bool mUp = true;
    bool mPaused = false;
    std::vector<std::function<void()>> mDeferred;
  };

  void runOn(NodeIndex aNode, std::uint64_t aIncarnation, const std::function<void()>& aCallback)
  {
    Node& node = mNodes[aNode];
    if (!node.mUp || node.mIncarnation != aIncarnation) {
      return;
    }
    if (node.mPaused) {
      node.mDeferred.push_back(aCallback);
      return;
    }
    aCallback();
  }

  const Document& mDocument;
  Random mRandom;
  TimePoint mNow;
  TimerQueue mEvents;
  std::vector<Node> mNodes;
  std::set<ZoneName> mCutZones;
  std::set<ZoneName> mCutFromPlatform;
  std::map<ZoneName, TimePoint> mLastCut;
  double mLoss = 0;
};

} // namespace bulrushrun::scenario
