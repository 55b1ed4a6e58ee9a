#include "soak/SoakRun.h"

#include <csignal>
#include <utility>

/// \file
/// \brief SoakRun: faults of instances, callers and the store.

namespace bulrushrun::soak {

void SoakRun::scheduleFaults()
{
  if (EventLoop::now() >= mFaultsEndAt) {
    return;
  }
  injectFault();
  const double meanInterval = toSeconds(mOptions.mFaultPause);
  mLoop.after(fromSeconds(mRandom.exponential(meanInterval)), [this] { scheduleFaults(); });
}

void SoakRun::injectFault()
{
  const std::size_t number = mRandom.below(mInstances.size());
  if (mOptions.mPlannedOnly) {
    if (mRandom.chance(0.8)) {
      injectPlannedStop(number);
    } else {
      drainTarget();
    }
    return;
  }
  const Duration duration = std::chrono::milliseconds(200 + mRandom.below(3500));
  if (mOptions.mOnlyRepeatedRefusals) {
    injectRepeatedRefusals(duration);
    return;
  }
  if (mOptions.mOnlyOlderStore) {
    restoreStore();
    return;
  }
  switch (mRandom.below(11)) {
    case 0:
    case 1:
      injectProcessFault(number, duration);
      break;
    case 2:
    case 3:
      injectPlannedStop(number);
      break;
    case 4:
      injectStoreFault(duration);
      break;
    case 5:
      denyStoreAccess(number, duration);
      break;
    case 6:
      injectTargetNetworkFault(duration);
      break;
    case 7:
      injectTargetFault(duration);
      break;
    case 8:
      injectCallerNetworkFault(number, duration);
      break;
    case 9:
      injectRepeatedRefusals(duration);
      break;
    default:
      drainTarget();
      break;
  }
}

void SoakRun::injectProcessFault(std::size_t aNumber, Duration aDuration)
{
  Instance& instance = mInstances[aNumber];
  if (instance.mStopRequested || instance.mPaused || !instance.mProcess->isRunning()) {
    return;
  }
  mChecker.instance(aNumber).addDisturbance(EventLoop::now() + aDuration);
  if (mRandom.chance(0.5)) {
    logFault("kill instance " + std::to_string(aNumber));
    instance.mStopRequested = true;
    instance.mProcess->signal(SIGKILL);
    return;
  }
  logFault("pause instance " + std::to_string(aNumber));
  instance.mPaused = true;
  instance.mProcess->signal(SIGSTOP);
  mLoop.after(aDuration, [this, aNumber] {
    mInstances[aNumber].mPaused = false;
    mInstances[aNumber].mProcess->signal(SIGCONT);
  });
}

/// Graceful shutdown or reload of the settings. All guarantees hold during both, so that they don't
/// count as a disturbance.
void SoakRun::injectPlannedStop(std::size_t aNumber)
{
  Instance& instance = mInstances[aNumber];
  if (instance.mStopRequested || instance.mPaused || !instance.mProcess->isRunning()) {
    return;
  }
  if (mRandom.chance(0.4)) {
    logFault("reload settings of instance " + std::to_string(aNumber));
    writeSettings(instance, aNumber, "changed " + std::to_string(mRandom.next()));
    instance.mProcess->signal(SIGHUP);
    return;
  }
  logFault("stop instance " + std::to_string(aNumber));
  instance.mStopRequested = true;
  instance.mPlannedStop = true;
  mChecker.onPlannedStop(aNumber, EventLoop::now());
  instance.mProcess->signal(SIGTERM);
  if (mRandom.chance(0.3)) {
    mLoop.after(std::chrono::milliseconds(mRandom.below(2500)), [this, aNumber] {
      if (mInstances[aNumber].mPlannedStop) {
        logFault("stop instance " + std::to_string(aNumber) + " again");
        mInstances[aNumber].mProcess->signal(SIGTERM);
      }
    });
  }
}

void SoakRun::injectStoreFault(Duration aDuration)
{
  mChecker.store().addDisturbance(EventLoop::now() + aDuration);
  standins::StoreFaults faults;
  const std::uint64_t kind = mRandom.below(5);
  logFault("store, kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      faults.mErrorStatus = 503;
      break;
    case 1:
      faults.mSilent = true;
      break;
    case 2:
      faults.mLostResponseProbability = 0.3;
      break;
    case 3:
      faults.mDelay = std::chrono::milliseconds(50 + mRandom.below(400));
      break;
    default:
      if (mRestoreRandom.chance(0.5)) {
        restoreStore();
        return;
      }
      mStore.compact();
      mStore.put("servers", "malformed", "{ no entry");
      return;
  }
  setStoreFaults(faults);
  mLoop.after(aDuration, [this] { setStoreFaults({}); });
}

void SoakRun::setStoreFaults(const standins::StoreFaults& aFaults)
{
  for (const Instance& instance : mInstances) {
    mStore.faults(instance.mStoreEndpoint) = aFaults;
  }
}

/// The store is unavailable for a moment and comes back from an older copy. Some time later, the
/// operator and the targets write again what they had written.
void SoakRun::restoreStore()
{
  constexpr Duration kOutage = std::chrono::milliseconds(300);
  const Duration age = std::chrono::milliseconds(500 + mRestoreRandom.below(5000));
  const Duration rewriteDelay = std::chrono::milliseconds(50 + mRestoreRandom.below(900));
  logFault("store comes back " + std::to_string(toMillis(age)) + " ms older");
  mChecker.store().addDisturbance(EventLoop::now() + kOutage + rewriteDelay);
  standins::StoreFaults faults;
  faults.mErrorStatus = 503;
  setStoreFaults(faults);
  mLoop.after(kOutage, [this, age] {
    setStoreFaults({});
    mStore.restore(age);
  });
  mLoop.after(kOutage + rewriteDelay, [this] { rewriteRows(); });
}

void SoakRun::rewriteRows()
{
  mStore.put("op", "config", mConfiguration);
  for (const Target& target : mTargets) {
    const std::string& id = target.mServer->setup().mId;
    if (mRemovedTargets.contains(id)) {
      mStore.remove("servers", id);
    } else {
      putTarget(target);
    }
  }
}

/// The store rejects the calls of one instance while it serves the others, so that the instance
/// depends on the changes that its peers replicate.
void SoakRun::denyStoreAccess(std::size_t aNumber, Duration aDuration)
{
  logFault("store denies instance " + std::to_string(aNumber) + " access");
  const Endpoint storeEndpoint = mInstances[aNumber].mStoreEndpoint;
  if (mRandom.chance(0.5)) {
    mStore.faults(storeEndpoint).mErrorStatus = 429;
  } else {
    mStore.faults(storeEndpoint).mSilent = true;
  }
  mChecker.instance(aNumber).addDisturbance(EventLoop::now() + aDuration);
  mLoop.after(aDuration, [this, storeEndpoint] { mStore.faults(storeEndpoint) = {}; });
}

void SoakRun::injectCallerNetworkFault(std::size_t aNumber, Duration aDuration)
{
  FaultProxy& proxy = *mInstances[aNumber].mCallerFaultProxy;
  mChecker.instance(aNumber).addDisturbance(EventLoop::now() + aDuration);
  const std::uint64_t kind = mRandom.below(4);
  logFault("callers of instance " + std::to_string(aNumber) + ", kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      proxy.stall(mRandom.chance(0.5), true);
      break;
    case 1:
      proxy.blackhole();
      break;
    case 2:
      proxy.reset();
      break;
    default:
      proxy.setDelay(std::chrono::milliseconds(20 + mRandom.below(300)));
      break;
  }
  mLoop.after(aDuration, [&proxy] {
    proxy.stall(false, false);
    proxy.setDelay(Duration{ 0 });
  });
}

} // namespace bulrushrun::soak
