#include "soak/SoakRun.h"

#include <csignal>
#include <utility>

/// \file
/// \brief SoakRun: the faults that it injects.

namespace bulrushrun::soak {

namespace {

/// A target that leaves goes on serving for longer than the bound on new work.
constexpr Duration kLeavingSpan = std::chrono::seconds(5);

} // namespace

void SoakRun::scheduleFaults()
{
  if (EventLoop::now() >= mFaultsEnd) {
    return;
  }
  disturb();
  const double pause = toSeconds(mOptions.mFaultPause);
  mLoop.after(fromSeconds(mRandom.exponential(pause)), [this] { scheduleFaults(); });
}

void SoakRun::disturb()
{
  const std::size_t number = mRandom.below(mInstances.size());
  const Duration span = std::chrono::milliseconds(200 + mRandom.below(3500));
  switch (mRandom.below(10)) {
    case 0:
    case 1:
      disturbProcess(number, span);
      break;
    case 2:
    case 3:
      injectPlannedStop(number);
      break;
    case 4:
      disturbStore(span);
      break;
    case 5:
      denyStoreAccess(number, span);
      break;
    case 6:
      disturbTargetLink(span);
      break;
    case 7:
      disturbTarget(span);
      break;
    case 8:
      disturbCallerLink(number, span);
      break;
    default:
      drainTarget();
      break;
  }
}

void SoakRun::disturbProcess(std::size_t aNumber, Duration aSpan)
{
  Instance& instance = mInstances[aNumber];
  if (instance.mStopRequested || instance.mPaused || !instance.mProcess->isRunning()) {
    return;
  }
  mChecker.instance(aNumber).disturb(EventLoop::now() + aSpan);
  if (mRandom.chance(0.5)) {
    logFault("kill instance " + std::to_string(aNumber));
    instance.mStopRequested = true;
    instance.mProcess->signal(SIGKILL);
    return;
  }
  logFault("pause instance " + std::to_string(aNumber));
  instance.mPaused = true;
  instance.mProcess->signal(SIGSTOP);
  mLoop.after(aSpan, [this, aNumber] {
    mInstances[aNumber].mPaused = false;
    mInstances[aNumber].mProcess->signal(SIGCONT);
  });
}

/// A stop, or a change of the settings with a signal, is no disturbance of what is promised.
void SoakRun::injectPlannedStop(std::size_t aNumber)
{
  Instance& instance = mInstances[aNumber];
  if (instance.mStopRequested || instance.mPaused || !instance.mProcess->isRunning()) {
    return;
  }
  if (mRandom.chance(0.4)) {
    logFault("settings of instance " + std::to_string(aNumber));
    writeSettings(instance, aNumber, "changed " + std::to_string(mRandom.next()));
    instance.mProcess->signal(SIGHUP);
    return;
  }
  logFault("stop instance " + std::to_string(aNumber));
  instance.mStopRequested = true;
  instance.mProcess->signal(SIGTERM);
}

void SoakRun::disturbStore(Duration aSpan)
{
  mChecker.store().disturb(EventLoop::now() + aSpan);
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
      mStore.compact();
      mStore.put("servers", "malformed", "{ no entry");
      return;
  }
  for (const Instance& instance : mInstances) {
    mStore.faults(instance.mStoreEndpoint) = faults;
  }
  mLoop.after(aSpan, [this] {
    for (const Instance& instance : mInstances) {
      mStore.faults(instance.mStoreEndpoint) = {};
    }
  });
}

/// One instance is turned away while the others are served: it has to learn from them.
void SoakRun::denyStoreAccess(std::size_t aNumber, Duration aSpan)
{
  logFault("store turns instance " + std::to_string(aNumber) + " away");
  const Endpoint door = mInstances[aNumber].mStoreEndpoint;
  if (mRandom.chance(0.5)) {
    mStore.faults(door).mErrorStatus = 429;
  } else {
    mStore.faults(door).mSilent = true;
  }
  mChecker.instance(aNumber).disturb(EventLoop::now() + aSpan);
  mLoop.after(aSpan, [this, door] { mStore.faults(door) = {}; });
}

void SoakRun::disturbTargetLink(Duration aSpan)
{
  Target& target = mTargets[mRandom.below(mTargets.size())];
  FaultProxy& link = *target.mFaultProxy;
  mChecker.targets().disturb(EventLoop::now() + aSpan);
  const std::uint64_t kind = mRandom.below(6);
  logFault("link to " + target.mServer->setup().mId + ", kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      link.stall(true, true);
      break;
    case 1:
      link.stall(false, true);
      break;
    case 2:
      link.blackhole();
      break;
    case 3:
      link.reset();
      break;
    case 4:
      link.setRefusing(true);
      link.reset();
      break;
    default:
      link.setDelay(std::chrono::milliseconds(20 + mRandom.below(200)));
      break;
  }
  mLoop.after(aSpan, [&link] {
    link.stall(false, false);
    link.setRefusing(false);
    link.setDelay(Duration{ 0 });
  });
}

void SoakRun::disturbTarget(Duration aSpan)
{
  standins::RegisteredTarget& target = *mTargets[mRandom.below(mTargets.size())].mServer;
  mChecker.targets().disturb(EventLoop::now() + aSpan);
  const std::uint64_t kind = mRandom.below(5);
  logFault("target " + target.setup().mId + ", kind " + std::to_string(kind));
  standins::TargetFaults& faults = target.faults();
  (kind == 0   ? faults.mLostResponseProbability
   : kind == 1 ? faults.mTruncationProbability
   : kind == 2 ? faults.mFailureProbability
               : faults.mShedProbability) = 0.4;
  if (kind == 4) {
    faults = {};
    faults.mDelay = std::chrono::milliseconds(100 + mRandom.below(1500));
  }
  mLoop.after(aSpan, [&target] { target.faults() = {}; });
}

void SoakRun::disturbCallerLink(std::size_t aNumber, Duration aSpan)
{
  FaultProxy& link = *mInstances[aNumber].mCallerFaultProxy;
  mChecker.instance(aNumber).disturb(EventLoop::now() + aSpan);
  const std::uint64_t kind = mRandom.below(4);
  logFault("callers of instance " + std::to_string(aNumber) + ", kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      link.stall(mRandom.chance(0.5), true);
      break;
    case 1:
      link.blackhole();
      break;
    case 2:
      link.reset();
      break;
    default:
      link.setDelay(std::chrono::milliseconds(20 + mRandom.below(300)));
      break;
  }
  mLoop.after(aSpan, [&link] {
    link.stall(false, false);
    link.setDelay(Duration{ 0 });
  });
}

/// A target of the work's service leaves and is back as another life.
void SoakRun::drainTarget()
{
  const std::size_t number = mRandom.below(mOptions.mTargets);
  Target& target = mTargets[number];
  if (target.mServer->isLeaving()) {
    return;
  }
  const std::string id = target.mServer->setup().mId;
  logFault("drain of " + id);
  target.mServer->setLeaving(true);
  putTarget(target);
  mChecker.onLeaving(id, EventLoop::now());
  mLoop.after(kLeavingSpan, [this, id] { mStore.remove("servers", id); });
  mLoop.after(kLeavingSpan + std::chrono::seconds(2), [this, number, id] {
    mTargets[number].mServer->restart();
    mChecker.onLeaving(id, std::nullopt);
    putTarget(mTargets[number]);
  });
}

} // namespace bulrushrun::soak
