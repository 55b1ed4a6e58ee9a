#pragma once

#include "soak/Callers.h"
#include "soak/Daemon.h"
#include "soak/Judge.h"
#include "soak/ProxyLink.h"
#include "standins/RegisteredTarget.h"
#include "standins/StoreServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief What one run is to be.
struct SoakPlan
{
  std::uint64_t mSeed = 1;
  std::size_t mInstances = 6;
  std::size_t mTargets = 8;
  double mRequestsPerSecond = 80;
  /// Time with faults; before and behind it lies time without.
  Duration mFaultSpan = std::chrono::seconds(20);
  /// Mean time between the starts of two faults.
  Duration mFaultPause = std::chrono::milliseconds(900);
  /// No faults and no planned work: a calm run.
  bool mCalm = false;
  /// Program under test.
  std::string mProgram;
  /// Folder for settings and logs.
  std::string mFolder;
};

/// \brief One run: real processes between stand-ins, disturbed from outside by a seeded schedule.
class SoakRun
{
public:
  explicit SoakRun(SoakPlan aPlan);
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;
  SoakRun(SoakRun&&) = delete;
  SoakRun& operator=(SoakRun&&) = delete;
  ~SoakRun() = default;

  /// \brief Plays it. \returns the findings: broken promises
  std::vector<std::string> play();
  /// \brief \returns one line of counts.
  std::string summary() const;

private:
  struct Instance
  {
    CallerAddress mAddress;
    Endpoint mStoreDoor;
    std::unique_ptr<ProxyLink> mCallerLink;
    std::unique_ptr<Daemon> mDaemon;
    std::string mSettingsPath;
    /// It is to end: by a signal of this run.
    bool mEnding = false;
    bool mPaused = false;
  };
  struct Target
  {
    Endpoint mAddress;
    std::unique_ptr<ProxyLink> mLink;
    std::unique_ptr<standins::RegisteredTarget> mServer;
  };

  Endpoint endpoint(std::size_t aNumber, std::uint16_t aPort) const;
  void addInstance(std::size_t aNumber);
  void addTarget(const std::string& aService, double aRunMillis);
  void writeSettings(const Instance& aInstance, std::size_t aNumber, const std::string& aRemark);
  void putTarget(const Target& aTarget);
  void putPlan();
  void watchProcesses();
  void watchMachine();
  void stopAtTheEnd();
  void probeAll();
  void schedule();
  void disturb();

  // Faults; each ends by itself.
  void disturbProcess(std::size_t aNumber, Duration aSpan);
  void stopByPlan(std::size_t aNumber);
  void disturbStore(Duration aSpan);
  void turnAway(std::size_t aNumber, Duration aSpan);
  void disturbTargetLink(Duration aSpan);
  void disturbTarget(Duration aSpan);
  void disturbCallerLink(std::size_t aNumber, Duration aSpan);
  void drainTarget();
  void note(const std::string& aText);

  SoakPlan mPlan;
  Random mRandom;
  EventLoop mLoop;
  Judge mJudge;
  standins::StoreServer mStore;
  std::vector<Instance> mInstances;
  std::vector<Target> mTargets;
  std::unique_ptr<Callers> mCallers;
  std::uint64_t mVersion = 0;
  TimePoint mStarted;
  TimePoint mFaultsEnd;
  TimePoint mEnd;
  TimePoint mWatchedAt;
  int mStandstills = 0;
};

} // namespace bulrushrun::soak
