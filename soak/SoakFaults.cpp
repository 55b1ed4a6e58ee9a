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

void SoakRun::schedule()
{
  if (EventLoop::now() >= mFaultsEnd) {
    return;
  }
  disturb();
  const double pause = toSeconds(mPlan.mFaultPause);
  mLoop.after(fromSeconds(mRandom.exponential(pause)), [this] { schedule(); });
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
      stopByPlan(number);
      break;
    case 4:
      disturbStore(span);
      break;
    case 5:
      turnAway(number, span);
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
  if (instance.mEnding || instance.mPaused || !instance.mDaemon->isRunning()) {
    return;
  }
  mJudge.instance(aNumber).disturb(EventLoop::now() + aSpan);
  if (mRandom.chance(0.5)) {
    note("kill instance " + std::to_string(aNumber));
    instance.mEnding = true;
    instance.mDaemon->signal(SIGKILL);
    return;
  }
  note("pause instance " + std::to_string(aNumber));
  instance.mPaused = true;
  instance.mDaemon->signal(SIGSTOP);
  mLoop.after(aSpan, [this, aNumber] {
    mInstances[aNumber].mPaused = false;
    mInstances[aNumber].mDaemon->signal(SIGCONT);
  });
}

/// A stop, or a change of the settings with a signal, is no disturbance of what is promised.
void SoakRun::stopByPlan(std::size_t aNumber)
{
  Instance& instance = mInstances[aNumber];
  if (instance.mEnding || instance.mPaused || !instance.mDaemon->isRunning()) {
    return;
  }
  if (mRandom.chance(0.4)) {
    note("settings of instance " + std::to_string(aNumber));
    writeSettings(instance, aNumber, "changed " + std::to_string(mRandom.next()));
    instance.mDaemon->signal(SIGHUP);
    return;
  }
  note("stop instance " + std::to_string(aNumber));
  instance.mEnding = true;
  instance.mDaemon->signal(SIGTERM);
}

void SoakRun::disturbStore(Duration aSpan)
{
  mJudge.store().disturb(EventLoop::now() + aSpan);
  standins::StoreTrouble trouble;
  const std::uint64_t kind = mRandom.below(5);
  note("store, kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      trouble.mRefusal = 503;
      break;
    case 1:
      trouble.mSilent = true;
      break;
    case 2:
      trouble.mLost = 0.3;
      break;
    case 3:
      trouble.mDelay = std::chrono::milliseconds(50 + mRandom.below(400));
      break;
    default:
      mStore.compact();
      mStore.put("servers", "malformed", "{ no entry");
      return;
  }
  for (const Instance& instance : mInstances) {
    mStore.trouble(instance.mStoreDoor) = trouble;
  }
  mLoop.after(aSpan, [this] {
    for (const Instance& instance : mInstances) {
      mStore.trouble(instance.mStoreDoor) = {};
    }
  });
}

/// One instance is turned away while the others are served: it has to learn from them.
void SoakRun::turnAway(std::size_t aNumber, Duration aSpan)
{
  note("store turns instance " + std::to_string(aNumber) + " away");
  const Endpoint door = mInstances[aNumber].mStoreDoor;
  if (mRandom.chance(0.5)) {
    mStore.trouble(door).mRefusal = 429;
  } else {
    mStore.trouble(door).mSilent = true;
  }
  mJudge.instance(aNumber).disturb(EventLoop::now() + aSpan);
  mLoop.after(aSpan, [this, door] { mStore.trouble(door) = {}; });
}

void SoakRun::disturbTargetLink(Duration aSpan)
{
  Target& target = mTargets[mRandom.below(mTargets.size())];
  ProxyLink& link = *target.mLink;
  mJudge.targets().disturb(EventLoop::now() + aSpan);
  const std::uint64_t kind = mRandom.below(6);
  note("link to " + target.mServer->setup().mId + ", kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      link.holdUp(true, true);
      break;
    case 1:
      link.holdUp(false, true);
      break;
    case 2:
      link.silence();
      break;
    case 3:
      link.reset();
      break;
    case 4:
      link.refuse(true);
      link.reset();
      break;
    default:
      link.setDelay(std::chrono::milliseconds(20 + mRandom.below(200)));
      break;
  }
  mLoop.after(aSpan, [&link] {
    link.holdUp(false, false);
    link.refuse(false);
    link.setDelay(Duration{ 0 });
  });
}

void SoakRun::disturbTarget(Duration aSpan)
{
  standins::RegisteredTarget& target = *mTargets[mRandom.below(mTargets.size())].mServer;
  mJudge.targets().disturb(EventLoop::now() + aSpan);
  const std::uint64_t kind = mRandom.below(5);
  note("target " + target.setup().mId + ", kind " + std::to_string(kind));
  standins::TargetTrouble& trouble = target.trouble();
  (kind == 0   ? trouble.mLost
   : kind == 1 ? trouble.mCut
   : kind == 2 ? trouble.mFailed
               : trouble.mShed) = 0.4;
  if (kind == 4) {
    trouble = {};
    trouble.mDelay = std::chrono::milliseconds(100 + mRandom.below(1500));
  }
  mLoop.after(aSpan, [&target] { target.trouble() = {}; });
}

void SoakRun::disturbCallerLink(std::size_t aNumber, Duration aSpan)
{
  ProxyLink& link = *mInstances[aNumber].mCallerLink;
  mJudge.instance(aNumber).disturb(EventLoop::now() + aSpan);
  const std::uint64_t kind = mRandom.below(4);
  note("callers of instance " + std::to_string(aNumber) + ", kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      link.holdUp(mRandom.chance(0.5), true);
      break;
    case 1:
      link.silence();
      break;
    case 2:
      link.reset();
      break;
    default:
      link.setDelay(std::chrono::milliseconds(20 + mRandom.below(300)));
      break;
  }
  mLoop.after(aSpan, [&link] {
    link.holdUp(false, false);
    link.setDelay(Duration{ 0 });
  });
}

/// A target of the work's service leaves and is back as another life.
void SoakRun::drainTarget()
{
  const std::size_t number = mRandom.below(mPlan.mTargets);
  Target& target = mTargets[number];
  if (target.mServer->isLeaving()) {
    return;
  }
  const std::string id = target.mServer->setup().mId;
  note("drain of " + id);
  target.mServer->setLeaving(true);
  putTarget(target);
  mJudge.onLeaving(id, EventLoop::now());
  mLoop.after(kLeavingSpan, [this, id] { mStore.remove("servers", id); });
  mLoop.after(kLeavingSpan + std::chrono::seconds(2), [this, number, id] {
    mTargets[number].mServer->restart();
    mJudge.onLeaving(id, std::nullopt);
    putTarget(mTargets[number]);
  });
}

} // namespace bulrushrun::soak
