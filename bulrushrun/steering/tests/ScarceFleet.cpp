#include "bulrushrun/steering/tests/ScarceFleet.h"

#include "bulrushrun/steering/ReturnTime.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numbers>

namespace bulrushrun::steering_test {

namespace {

const ServiceName kService{ "s" };
constexpr Duration kStep = std::chrono::milliseconds(2);
/// Requests that run and wait at a target before it declines.
constexpr int kMaxRequests = 9;
constexpr std::size_t kRememberedObjects = 18;
constexpr double kWarmShare = 0.3;
constexpr Duration kCallerDelay = std::chrono::milliseconds(8);

ZoneName zoneName(std::size_t aZone)
{
  return ZoneName{ "z" + std::to_string(aZone) };
}

} // namespace

ScarceFleet::ScarceFleet(const ScarceFleetOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  std::map<ZoneName, RegionName> regions;
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    regions[zoneName(zone)] = RegionName{ "r" + std::to_string(zone / 2) };
    for (int i = 0; i < mOptions.mTargetsOfZone.at(zone); ++i) {
      TargetEntry entry;
      entry.mId = TargetId{ "t" + std::to_string(zone) + "-" + std::to_string(i) };
      entry.mService = kService;
      entry.mSlots = mOptions.mSlots;
      entry.mZone = zoneName(zone);
      mTable.update(entry, mNow);
      mTargets[entry.mId].mZone = zone;
    }
  }
  mTable.setComplete();
  std::vector<std::uint64_t> all;
  for (std::size_t i = 0; i < kZones * mOptions.mInstancesPerZone; ++i) {
    all.push_back(mixBits(i));
  }
  mInstances.resize(all.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    Instance& instance = mInstances[i];
    instance.mZone = i % kZones;
    instance.mPicker = std::make_unique<TargetPicker>();
    instance.mPicker->placements().setComplete();
    instance.mContext.mZones = ZoneTopology{ zoneName(instance.mZone), regions };
    instance.mContext.mTargets = &mTable;
    instance.mContext.mInstanceHash = all[i];
    instance.mContext.mFleetQuota = TargetQuota{ all[i], all };
  }
  double sum = 0;
  for (int object = 1; object <= mOptions.mObjectsPerRegion; ++object) {
    sum += std::pow(object, -mOptions.mZipfExponent);
    mPopularity.push_back(sum);
  }
  changeSpeeds();
  mDue.resize(mOptions.mKinds.size() * kRegions);
  reset();
}

void ScarceFleet::changeSpeeds()
{
  constexpr Duration kPeriod = std::chrono::milliseconds(500);
  if (mOptions.mSlowShare > 0) {
    for (auto& [id, target] : mTargets) {
      target.mSlowdown = mRandom.chance(mOptions.mSlowShare) ? mOptions.mSlowdown : 1;
    }
    at(kPeriod, [this] { changeSpeeds(); });
  }
}

void ScarceFleet::run(Duration aDuration)
{
  constexpr double kPeriod = 36;
  const TimePoint until = mNow + aDuration;
  for (; mNow < until; mNow += kStep) {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const std::function<void()> event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
    for (std::size_t i = 0; i < mDue.size(); ++i) {
      const std::size_t region = i % kRegions;
      const double phase =
        toSeconds(mNow.time_since_epoch()) / kPeriod + static_cast<double>(region) / kRegions;
      const double wave = 1 + mOptions.mWave * std::sin(2 * std::numbers::pi * phase);
      const double rate = mDemand * wave * mOptions.mKinds[i / kRegions].mRate / kRegions;
      mDue[i] += rate * toSeconds(kStep) * 2 * mRandom.unit();
      for (; mDue[i] >= 1; mDue[i] -= 1) {
        arrive(region, i / kRegions);
      }
    }
  }
}

void ScarceFleet::arrive(std::size_t aRegion, std::size_t aKind)
{
  const CallPtr call = std::make_shared<Call>();
  const std::size_t zone = 2 * aRegion + mRandom.below(2);
  call->mInstance = zone + kZones * mRandom.below(mOptions.mInstancesPerZone);
  call->mKind = aKind;
  const auto object =
    std::lower_bound(mPopularity.begin(), mPopularity.end(), mRandom.unit() * mPopularity.back());
  call->mObject = mixBits(aRegion * mPopularity.size() +
                          static_cast<std::uint64_t>(object - mPopularity.begin()));
  call->mSent = mNow;
  call->mDeadline = mNow + mOptions.mKinds[aKind].mDeadline;
  ++mResults[aKind].mCallers;
  at(kCallerDelay, [this, call] { dispatch(call); });
}

void ScarceFleet::dispatch(const CallPtr& aCall)
{
  Instance& instance = mInstances[aCall->mInstance];
  const RequestKind& kind = mOptions.mKinds[aCall->mKind];
  PickQuery query;
  query.mAffinity = mOptions.mWithoutKeys ? Affinity::None : Affinity::Key;
  query.mAffinityKey = aCall->mObject;
  query.mTriedTargets = aCall->mTried;
  if (mOptions.mCompete) {
    const bool isEarly =
      aCall->mAttempts == 0 && instance.mRepeats.isEarly(aCall->mObject + aCall->mKind, mNow);
    query.mTerms = AdmissionTerms{ kind.mLevel,
                                   instance.mTimes[aCall->mKind].times(instance.mQueued),
                                   aCall->mSent + kind.mLatencyTarget - mNow - kCallerDelay,
                                   aCall->mDeadline - mNow,
                                   isEarly };
  }
  if (aCall->mAttempts == 0) {
    instance.mRetries.onFirstAttempt(mNow);
  }
  const PickResult pick =
    instance.mPicker->pick(query, mTable.usable(kService, mNow), instance.mContext, mNow);
  if (pick.mPlaced) {
    for (Instance& other : mInstances) {
      at(std::chrono::milliseconds(30), [this, &other, placed = *pick.mPlaced] {
        other.mPicker->placements().merge(placed, mNow);
      });
    }
  }
  if (pick.mTarget == nullptr) {
    refuse(aCall, pick.mUntilRoom);
  } else {
    send(aCall, pick);
  }
}

Duration ScarceFleet::wayTo(const Instance& aInstance, const TargetId& aTarget) const
{
  const std::size_t zone = mTargets.at(aTarget).mZone;
  return zone / 2 == aInstance.mZone / 2 ? std::chrono::milliseconds(1)
                                         : std::chrono::milliseconds(20);
}

void ScarceFleet::send(const CallPtr& aCall, const PickResult& aPick)
{
  Instance& instance = mInstances[aCall->mInstance];
  const TargetId id = aPick.mTarget->mEntry.mId;
  aCall->mTried.insert(id);
  ++aCall->mAttempts;
  instance.mPicker->stats(id).onAttemptStarted(mNow);
  at(wayTo(instance, id), [this, aCall, aPick, id, sent = mNow] {
    Target& target = mTargets.at(id);
    const int load = target.mRunning + static_cast<int>(target.mQueue.size());
    if (load >= kMaxRequests) {
      at(wayTo(mInstances[aCall->mInstance], id),
         [this, aCall, id, load] { onDeclined(aCall, id, load); });
      return;
    }
    const std::function<void()> work = [this, aCall, aPick, id, sent] {
      execute(aCall, aPick, id, sent);
    };
    if (target.mRunning < mOptions.mSlots) {
      ++target.mRunning;
      work();
    } else {
      target.mQueue.push_back(work);
    }
  });
}

void ScarceFleet::execute(const CallPtr& aCall,
                          const PickResult& aPick,
                          const TargetId& aTarget,
                          TimePoint aSent)
{
  Target& target = mTargets.at(aTarget);
  const auto known = std::find(target.mObjects.begin(), target.mObjects.end(), aCall->mObject);
  const double share = known == target.mObjects.end() ? 1 : kWarmShare;
  if (known != target.mObjects.end()) {
    target.mObjects.erase(known);
  }
  target.mObjects.push_front(aCall->mObject);
  target.mObjects.resize(std::min(target.mObjects.size(), kRememberedObjects));
  const double mean =
    target.mSlowdown * share * toSeconds(mOptions.mKinds[aCall->mKind].mExecution);
  at(fromSeconds(0.5 * mean + mRandom.exponential(0.5 * mean)),
     [this, aCall, aPick, aTarget, aSent] {
       Target& finished = mTargets.at(aTarget);
       const int load = finished.mRunning + static_cast<int>(finished.mQueue.size());
       --finished.mRunning;
       if (!finished.mQueue.empty()) {
         const std::function<void()> next = std::move(finished.mQueue.front());
         finished.mQueue.pop_front();
         ++finished.mRunning;
         next();
       }
       at(wayTo(mInstances[aCall->mInstance], aTarget), [this, aCall, aPick, aTarget, aSent, load] {
         onResponse(aCall, aPick, aTarget, aSent, load);
       });
     });
}

void ScarceFleet::report(Instance& aInstance, const TargetId& aTarget, int aLoad)
{
  constexpr Duration kExchangeDelay = std::chrono::milliseconds(35);
  aInstance.mPicker->stats(aTarget).onReport(aLoad, mNow);
  const double slowdown = mTargets.at(aTarget).mSlowdown;
  const bool isSlow = mOptions.mReportSpeeds && slowdown > 1;
  if (mOptions.mReportSpeeds) {
    aInstance.mPicker->stats(aTarget).onSlowdown(slowdown, mNow);
  }
  if (aLoad < mOptions.mSlots && !isSlow) {
    return;
  }
  for (Instance& other : mInstances) {
    if (other.mZone / 2 == aInstance.mZone / 2) {
      at(kExchangeDelay, [this, &other, aTarget, aLoad, isSlow, slowdown] {
        TargetStats& stats = other.mPicker->stats(aTarget);
        if (aLoad >= mOptions.mSlots) {
          stats.onReport(aLoad, mNow);
        }
        if (isSlow) {
          stats.onSlowdown(slowdown, mNow);
        }
      });
    }
  }
}

void ScarceFleet::onResponse(const CallPtr& aCall,
                             const PickResult& aPick,
                             const TargetId& aTarget,
                             TimePoint aSent,
                             int aLoad)
{
  Instance& instance = mInstances[aCall->mInstance];
  report(instance, aTarget, aLoad);
  instance.mPicker->stats(aTarget).onEnd(AttemptResult::Answered, mNow);
  instance.mLatency.add(mNow - aSent);
  instance.mQueued.add(instance.mTimes[aCall->mKind].add(
    mNow - aSent, aPick.mLoad, mOptions.mSlots, aPick.mIsWarm, aPick.mSlowdown));
  if (aCall->mIsExtra || mNow + kCallerDelay > aCall->mDeadline) {
    return;
  }
  const Duration latency = mNow + kCallerDelay - aCall->mSent;
  KindResult& result = mResults[aCall->mKind];
  ++(latency <= mOptions.mKinds[aCall->mKind].mLatencyTarget ? result.mInTime : result.mLate);
}

void ScarceFleet::onDeclined(const CallPtr& aCall, const TargetId& aTarget, int aLoad)
{
  constexpr int kMaxAttempts = 3;
  Instance& instance = mInstances[aCall->mInstance];
  report(instance, aTarget, aLoad);
  instance.mPicker->stats(aTarget).onEnd(AttemptResult::Full, mNow);
  ++mResults[aCall->mKind].mDeclined;
  RetryBudgetPolicy policy;
  policy.mRatio = 0.2;
  if (aCall->mAttempts < kMaxAttempts &&
      instance.mRetries.trySpend(policy, mInstances.size(), mNow)) {
    dispatch(aCall);
  } else {
    refuse(aCall, std::nullopt);
  }
}

void ScarceFleet::refuse(const CallPtr& aCall, const std::optional<Duration>& aUntilRoom)
{
  Instance& instance = mInstances[aCall->mInstance];
  const RequestKind& kind = mOptions.mKinds[aCall->mKind];
  const Duration remaining = aCall->mDeadline - mNow;
  const Duration latency = instance.mLatency.value();
  const Duration delay =
    mOptions.mCompete
      ? returnTime(aUntilRoom.value_or(instance.mQueued.value()), remaining, mRandom.unit())
      : fromSeconds(toSeconds(latency) * (0.5 + mRandom.unit()));
  instance.mRepeats.onRefused(aCall->mObject + aCall->mKind, mNow + delay, mNow);
  if (aCall->mIsExtra) {
    return;
  }
  for (int i = 0; !aCall->mIsRepeat && aCall->mKind == 0 && i < mOptions.mAbusiveRepeats; ++i) {
    const CallPtr extra = std::make_shared<Call>(*aCall);
    extra->mIsExtra = true;
    extra->mTried.clear();
    extra->mAttempts = 0;
    at((i + 1) * 2 * kCallerDelay, [this, extra] { dispatch(extra); });
  }
  if (aCall->mIsRepeat || delay > remaining / 3) {
    ++mResults[aCall->mKind].mRefused;
    return;
  }
  const bool isImmediate = mNow + kCallerDelay - aCall->mSent <= kind.mLatencyTarget / 8;
  aCall->mIsRepeat = true;
  aCall->mAttempts = 0;
  aCall->mTried.clear();
  // Another instance of the zone, as callers choose at random.
  aCall->mInstance =
    mInstances[aCall->mInstance].mZone + kZones * mRandom.below(mOptions.mInstancesPerZone);
  at(delay + 2 * kCallerDelay, [this, aCall, isImmediate] {
    aCall->mSent = isImmediate ? mNow - kCallerDelay : aCall->mSent;
    dispatch(aCall);
  });
}

std::string ScarceFleet::table() const
{
  std::string text;
  for (std::size_t i = 0; i < mResults.size(); ++i) {
    const KindResult& result = mResults[i];
    const double callers = std::max(result.mCallers, 1);
    std::array<char, 160> line{};
    std::snprintf(
      line.data(),
      line.size(),
      "kind %zu level %d: callers %6d in time %.3f late %.3f refused %.3f declined %.3f\n",
      i,
      mOptions.mKinds[i].mLevel.mLevel,
      result.mCallers,
      result.mInTime / callers,
      result.mLate / callers,
      result.mRefused / callers,
      result.mDeclined / callers);
    text += line.data();
  }
  return text;
}

} // namespace bulrushrun::steering_test
