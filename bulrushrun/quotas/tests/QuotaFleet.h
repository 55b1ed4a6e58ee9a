#pragma once

#include "bulrushrun/quotas/QuotaCoordinator.h"
#include "bulrushrun/quotas/QuotaHolder.h"
#include "bulrushrun/quotas/WaitingRequests.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun::tests {

/// \brief Model of a fleet that shares quotas: virtual clock, delayed and lost messages,
/// partitions, deaths and restarts.
class QuotaFleet
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kDetection = std::chrono::milliseconds(2500);

  /// Demand of one customer: requests per second, and the instance that one request enters.
  struct Caller
  {
    CustomerName mCustomer;
    std::function<double(double)> mRate;
    std::function<std::size_t(double, Random&)> mInstance;
  };
  struct Result
  {
    std::vector<TimePoint> mExecuted;
    std::uint64_t mOffered = 0;
    std::uint64_t mRefused = 0;
    std::uint64_t mWithinLimit = 0;
  };

  QuotaFleet(std::size_t aInstances, std::vector<Customer> aCustomers, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    setCustomers(std::move(aCustomers));
    for (std::size_t i = 0; i < aInstances; ++i) {
      mNodes.push_back({});
      start(i, TimePoint{});
    }
  }

  /// Whether a message from one instance reaches another one.
  std::function<bool(std::size_t, std::size_t, double)> mReaches = [](auto, auto, auto) {
    return true;
  };
  double mLoss = 0;
  double mDuplicates = 0;
  /// Part of the messages that arrive up to 3 s late.
  double mLate = 0;
  /// Instance that each instance takes for the coordinator at a time, where the model fixes it.
  std::function<std::optional<std::size_t>(std::size_t, double)> mForcedCoordinator;
  std::vector<Caller> mCallers;
  /// Actions at given seconds.
  std::multimap<double, std::function<void()>> mActions;

  void setCustomers(std::vector<Customer> aCustomers)
  {
    mLimits = std::make_shared<const QuotaLimits>(aCustomers);
    for (Node& node : mNodes) {
      if (node.mUp) {
        node.mHolder->setLimits(mLimits);
        node.mCoordinator->setLimits(mLimits, mNow);
      }
    }
  }
  void kill(std::size_t aNode)
  {
    mNodes[aNode].mUp = false;
    mNodes[aNode].mDownSince = mNow;
    mNodes[aNode].mWaiting = {};
  }
  void start(std::size_t aNode, TimePoint aAccruesFrom)
  {
    Node& node = mNodes[aNode];
    node.mUp = true;
    node.mAccruesFrom = std::max(mNow, aAccruesFrom);
    node.mHolder = std::make_unique<QuotaHolder>(Endpoint{ static_cast<std::uint32_t>(aNode), 1 },
                                                 mRandom.next());
    node.mCoordinator = std::make_unique<QuotaCoordinator>();
    node.mHolder->setLimits(mLimits);
    node.mCoordinator->setLimits(mLimits, mNow);
  }
  /// Adds an instance; the others learn of it 1 s later.
  void add()
  {
    mNodes.push_back({});
    mNodes.back().mAddedAt = mNow;
    start(mNodes.size() - 1, mNow + std::chrono::seconds(2));
  }

  void run(double aSeconds)
  {
    const TimePoint end = mNow + fromSeconds(aSeconds);
    while (mNow < end) {
      step();
    }
  }

  const Result& result(const std::string& aCustomer) { return mResults[CustomerName{ aCustomer }]; }
  QuotaHolder& holder(std::size_t aNode) { return *mNodes[aNode].mHolder; }
  std::uint64_t messages() const { return mMessages; }
  TimePoint now() const { return mNow; }

  /// \returns the highest number of executed requests in a window of 5 s that begins in a period.
  std::size_t highestWindow(const std::string& aCustomer, double aFrom = 0, double aTo = 1e6)
  {
    const std::vector<TimePoint>& times = result(aCustomer).mExecuted;
    std::size_t highest = 0;
    std::size_t end = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
      while (end < times.size() && times[end] - times[i] <= QuotaBounds{}.mWindow) {
        ++end;
      }
      const double start = toSeconds(times[i].time_since_epoch());
      highest = start >= aFrom && start < aTo ? std::max(highest, end - i) : highest;
    }
    return highest;
  }
  /// \returns the part of the requests within the limit that were not executed.
  double refusedWithinLimit(const std::string& aCustomer)
  {
    const Result& all = result(aCustomer);
    const double within = static_cast<double>(all.mWithinLimit);
    return within == 0 ? 0 : std::max(1 - static_cast<double>(all.mExecuted.size()) / within, 0.0);
  }
  static double allowed(double aRate, double aBurst) { return (aRate * 5 + aBurst) * 1.1 + 20; }

private:
  struct Node
  {
    bool mUp = true;
    TimePoint mDownSince;
    TimePoint mAddedAt{ Duration{ -1'000'000'000 } };
    TimePoint mAccruesFrom;
    std::unique_ptr<QuotaHolder> mHolder;
    std::unique_ptr<QuotaCoordinator> mCoordinator;
    WaitingRequests mWaiting;
  };
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mAt;
    bool mStarted = false;
  };

  void step()
  {
    mNow += kStep;
    const double seconds = toSeconds(mNow.time_since_epoch());
    while (!mActions.empty() && mActions.begin()->first <= seconds) {
      const std::function<void()> action = mActions.begin()->second;
      mActions.erase(mActions.begin());
      action();
    }
    while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
      const std::function<void()> deliver = std::move(mInFlight.begin()->second);
      mInFlight.erase(mInFlight.begin());
      deliver();
    }
    if (mNow - mMembershipAt >= std::chrono::milliseconds(250)) {
      mMembershipAt = mNow;
      updateMembership(seconds);
    }
    for (const Caller& caller : mCallers) {
      double expected = caller.mRate(seconds) * toSeconds(kStep);
      for (; mRandom.unit() < expected; expected -= 1) {
        request(caller, seconds);
      }
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i].mUp) {
        work(i, seconds);
      }
    }
  }

  void updateMembership(double aSeconds)
  {
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (!mNodes[i].mUp) {
        continue;
      }
      std::optional<std::size_t> best;
      std::uint32_t known = 0;
      for (std::size_t j = 0; j < mNodes.size(); ++j) {
        const bool isKnown = i == j || mNow - mNodes[j].mAddedAt > std::chrono::seconds(1) ||
                             mNodes[j].mAddedAt < mNodes[i].mAddedAt;
        known += isKnown ? 1 : 0;
        const bool seemsUp = isKnown &&
                             (mNodes[j].mUp || mNow - mNodes[j].mDownSince < kDetection) &&
                             (i == j || !isSeparated(i, j, aSeconds));
        if (seemsUp && (!best || rank(j) > rank(*best))) {
          best = j;
        }
      }
      const std::optional<std::size_t> forced =
        mForcedCoordinator ? mForcedCoordinator(i, aSeconds) : std::nullopt;
      best = forced ? forced : best;
      mNodes[i].mHolder->setMembership({ known, best, mNodes[i].mAccruesFrom }, mNow);
    }
  }

  /// Gossip needs both directions, and detects a partition after kDetection.
  bool isSeparated(std::size_t aOne, std::size_t aOther, double aSeconds) const
  {
    const double before = aSeconds - toSeconds(kDetection);
    const auto blocked = [&](double aWhen) {
      return !mReaches(aOne, aOther, aWhen) || !mReaches(aOther, aOne, aWhen);
    };
    return blocked(aSeconds) && blocked(before);
  }

  static std::uint64_t rank(std::size_t aNode) { return combineHashes(17, aNode); }

  void request(const Caller& aCaller, double aSeconds)
  {
    const std::optional<LimitId> id = mLimits->idOf(aCaller.mCustomer);
    Result& result = mResults[aCaller.mCustomer];
    ++result.mOffered;
    const QuotaLimit* limit = id ? mLimits->find(*id) : nullptr;
    if (limit == nullptr) {
      return;
    }
    Bucket& bucket = mBuckets[aCaller.mCustomer];
    const double accrued =
      bucket.mStarted ? limit->mRate * toSeconds(mNow - bucket.mAt) : limit->mBurst;
    bucket.mTokens = std::min(bucket.mTokens + accrued, limit->mBurst);
    bucket.mStarted = true;
    bucket.mAt = mNow;
    if (bucket.mTokens >= 1) {
      bucket.mTokens -= 1;
      ++result.mWithinLimit;
    }
    Node* node = &mNodes[aCaller.mInstance(aSeconds, mRandom)];
    if (std::none_of(mNodes.begin(), mNodes.end(), [](const Node& aNode) { return aNode.mUp; })) {
      return;
    }
    while (!node->mUp) {
      node = &mNodes[mRandom.below(mNodes.size())];
    }
    const Duration wait = std::chrono::milliseconds(60);
    const QuotaDecision decision = node->mHolder->admit(*id, wait, mNow);
    if (decision == QuotaDecision::Admitted) {
      result.mExecuted.push_back(mNow);
    } else if (decision == QuotaDecision::Refused || node->mWaiting.isFull()) {
      ++result.mRefused;
    } else {
      mLastId = mLastId.next();
      node->mWaiting.add({ mLastId, *id, 0, mNow, mNow + wait });
      node->mHolder->addWaiting(*id, 1);
    }
  }

  void serveWaiting(Node& aNode)
  {
    const std::vector<WaitingRequest> all = aNode.mWaiting.all();
    for (const WaitingRequest& request : all) {
      const bool isDone = aNode.mHolder->take(request.mLimit, mNow);
      if (isDone || request.mUntil <= mNow) {
        const QuotaLimit* limit = mLimits->find(request.mLimit);
        if (limit != nullptr && isDone) {
          mResults[limit->mName].mExecuted.push_back(mNow);
        } else if (limit != nullptr) {
          ++mResults[limit->mName].mRefused;
        }
        aNode.mWaiting.remove(request.mId);
        aNode.mHolder->addWaiting(request.mLimit, -1);
      }
    }
  }

  void work(std::size_t aNode, double aSeconds)
  {
    Node& node = mNodes[aNode];
    if (node.mHolder->nextReportAt() <= mNow) {
      for (const QuotaReport& report : node.mHolder->makeReports(mNow)) {
        const std::size_t to = *coordinatorOf(aNode, aSeconds);
        send(aNode, to, [this, to, aNode, report] {
          Node& coordinator = mNodes[to];
          const std::uint32_t known = static_cast<std::uint32_t>(mNodes.size());
          const std::optional<QuotaGrant> grant =
            coordinator.mCoordinator->onReport(report, known, mNow);
          if (grant) {
            send(to, aNode, [this, aNode, grant] { mNodes[aNode].mHolder->onGrant(*grant, mNow); });
          }
        });
      }
    }
    if (!node.mWaiting.empty()) {
      serveWaiting(node);
    }
  }

  std::optional<std::size_t> coordinatorOf(std::size_t aNode, double)
  {
    return mNodes[aNode].mHolder->membership().mCoordinator;
  }

  void send(std::size_t aFrom, std::size_t aTo, std::function<void()> aDeliver)
  {
    const double seconds = toSeconds(mNow.time_since_epoch());
    ++mMessages;
    if (aFrom == aTo) {
      aDeliver();
      return;
    }
    if (!mReaches(aFrom, aTo, seconds) || mRandom.chance(mLoss)) {
      return;
    }
    const int copies = mRandom.chance(mDuplicates) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Duration delay = std::chrono::milliseconds(aFrom % 3 == aTo % 3 ? 2 : 20);
      delay += mRandom.chance(mLate) ? fromSeconds(3 * mRandom.unit()) : Duration{ 0 };
      mInFlight.emplace(mNow + delay, [this, aTo, aDeliver] {
        if (mNodes[aTo].mUp) {
          aDeliver();
        }
      });
    }
  }

  Random mRandom;
  TimePoint mNow{};
  TimePoint mMembershipAt{ Duration{ -1'000'000 } };
  std::shared_ptr<const QuotaLimits> mLimits;
  std::vector<Node> mNodes;
  std::multimap<TimePoint, std::function<void()>> mInFlight;
  std::map<CustomerName, Result> mResults;
  std::map<CustomerName, Bucket> mBuckets;
  RequestId mLastId;
  std::uint64_t mMessages = 0;
};

} // namespace bulrushrun::tests
