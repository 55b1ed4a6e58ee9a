#include "soak/SoakRun.h"

#include <utility>

/// \file
/// \brief SoakRun: faults of targets, and what targets announce.

namespace bulrushrun::soak {

namespace {

/// A leaving target continues to serve for longer than the bound on new requests, which
/// is SoakBounds::mDrain.
constexpr Duration kLeavingDuration = std::chrono::seconds(5);
/// Share of the answers that end early while a target is faulty.
constexpr double kCutProbability = 0.1;

} // namespace

void SoakRun::injectTargetNetworkFault(Duration aDuration)
{
  Target& target = mTargets[mRandom.below(mTargets.size())];
  FaultProxy& proxy = *target.mFaultProxy;
  mChecker.targets().addDisturbance(EventLoop::now() + aDuration);
  mChecker.link(target.mServer->setup().mId).addDisturbance(EventLoop::now() + aDuration);
  const std::uint64_t kind = mRandom.below(6);
  logFault("link to " + target.mServer->setup().mId + ", kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      proxy.stall(true, true);
      break;
    case 1:
      proxy.stall(false, true);
      break;
    case 2:
      proxy.blackhole();
      break;
    case 3:
      proxy.reset();
      break;
    case 4:
      proxy.setRefusing(true);
      proxy.reset();
      break;
    default:
      proxy.setDelay(std::chrono::milliseconds(20 + mRandom.below(200)));
      break;
  }
  mLoop.after(aDuration, [&proxy] {
    proxy.stall(false, false);
    proxy.setRefusing(false);
    proxy.setDelay(Duration{ 0 });
  });
}

void SoakRun::cutAnswers(double aProbability)
{
  for (const Target& target : mTargets) {
    target.mFaultProxy->cutAnswers(aProbability);
  }
}

void SoakRun::injectTargetFault(Duration aDuration)
{
  standins::RegisteredTarget& target = *mTargets[mRandom.below(mTargets.size())].mServer;
  mChecker.targets().addDisturbance(EventLoop::now() + aDuration);
  const std::uint64_t kind = mRandom.below(5);
  logFault("target " + target.setup().mId + ", kind " + std::to_string(kind));
  standins::TargetFaults& faults = target.faults();
  (kind == 0   ? faults.mLostResponseProbability
   : kind == 1 ? faults.mTruncationProbability
   : kind == 2 ? faults.mFailureProbability
               : faults.mShedProbability) = 0.4;
  cutAnswers(kCutProbability);
  if (kind == 4) {
    faults = {};
    faults.mDelay = std::chrono::milliseconds(100 + mRandom.below(1500));
  }
  mLoop.after(aDuration, [this, &target] {
    target.faults() = {};
    cutAnswers(0);
  });
}

/// A target declines requests, and later sends these refusals once more on the same connections.
void SoakRun::injectRepeatedRefusals(Duration aDuration)
{
  Target& target = mTargets[mRandom.below(mOptions.mTargets)];
  mChecker.targets().addDisturbance(EventLoop::now() + aDuration);
  const bool withoutId = mRandom.chance(0.5);
  logFault("target " + target.mServer->setup().mId + " repeats refusals" +
           (withoutId ? " without an id" : ""));
  target.mServer->faults().mShedProbability = 0.4;
  target.mFaultProxy->repeatRefusals(withoutId ? FaultProxy::Repetition::WithoutId
                                               : FaultProxy::Repetition::Unchanged);
  mLoop.after(aDuration, [&target] {
    target.mServer->faults() = {};
    target.mFaultProxy->repeatRefusals(FaultProxy::Repetition::None);
  });
}

/// Every now and then a target turns some requests away for a moment and asks for rest. Targets
/// with another fault are left alone.
void SoakRun::scheduleRests()
{
  if (EventLoop::now() >= mFaultsEndAt) {
    return;
  }
  constexpr double kMeanInterval = 1.2;
  constexpr Duration kShedding = std::chrono::milliseconds(300);
  standins::RegisteredTarget& target = *mTargets[mWishRandom.below(mOptions.mTargets)].mServer;
  const Duration rest = std::chrono::milliseconds(700 + mWishRandom.below(3500));
  standins::TargetFaults& faults = target.faults();
  const bool isFaulty = faults.mShedProbability > 0 || faults.mDelay > Duration{ 0 };
  if (!isFaulty) {
    logFault("target " + target.setup().mId + " asks for rest, ms " +
             std::to_string(toMillis(rest)));
    faults.mShedProbability = 0.5;
    faults.mRestTime = rest;
    mLoop.after(kShedding, [&target] {
      target.faults().mShedProbability = 0;
      target.faults().mRestTime = Duration{ 0 };
    });
  }
  mLoop.after(fromSeconds(mWishRandom.exponential(kMeanInterval)), [this] { scheduleRests(); });
}

/// A target of the main service is drained and later restarted as a new incarnation. Some say so in
/// their answers only.
void SoakRun::drainTarget()
{
  const std::size_t number = mRandom.below(mOptions.mTargets);
  Target& target = mTargets[number];
  if (target.mServer->isLeaving()) {
    return;
  }
  const std::string id = target.mServer->setup().mId;
  const bool registersIt = mWishRandom.chance(0.5);
  logFault("drain of " + id + (registersIt ? "" : ", said in answers only"));
  target.mServer->setLeaving(true);
  if (registersIt) {
    putTarget(target);
    mChecker.onLeaving(id, EventLoop::now());
  }
  mLoop.after(kLeavingDuration, [this, id] {
    mRemovedTargets.insert(id);
    mStore.remove("servers", id);
  });
  mLoop.after(kLeavingDuration + std::chrono::seconds(2), [this, number, id] {
    mTargets[number].mServer->restart();
    mRemovedTargets.erase(id);
    mChecker.onLeaving(id, std::nullopt);
    mChecker.onTargetRestart(id, EventLoop::now());
    putTarget(mTargets[number]);
  });
}

} // namespace bulrushrun::soak
