#pragma once

#include "soak/Callers.h"
#include "soak/DaemonProcess.h"
#include "soak/FaultProxy.h"
#include "soak/InvariantChecker.h"
#include "standins/RegisteredTarget.h"
#include "standins/RowStoreServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief What one run is to be.
struct SoakOptions
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
  explicit SoakRun(SoakOptions aOptions);
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;
  SoakRun(SoakRun&&) = delete;
  SoakRun& operator=(SoakRun&&) = delete;
  ~SoakRun() = default;

  /// \brief Plays it. \returns the findings: broken promises
  std::vector<std::string> execute();
  /// \brief \returns one line of counts.
  std::string summary() const;

private:
  struct Instance
  {
    CallerAddress mAddress;
    Endpoint mStoreEndpoint;
    std::unique_ptr<FaultProxy> mCallerFaultProxy;
    std::unique_ptr<DaemonProcess> mProcess;
    std::string mSettingsPath;
    /// It is to end: by a signal of this run.
    bool mStopRequested = false;
    bool mPaused = false;
  };
  struct Target
  {
    Endpoint mAddress;
    std::unique_ptr<FaultProxy> mFaultProxy;
    std::unique_ptr<standins::RegisteredTarget> mServer;
  };

  Endpoint endpoint(std::size_t aNumber, std::uint16_t aPort) const;
  void addInstance(std::size_t aNumber);
  void addTarget(const std::string& aService, double aRunMillis);
  void writeSettings(const Instance& aInstance, std::size_t aNumber, const std::string& aRemark);
  void putTarget(const Target& aTarget);
  void putConfiguration();
  void watchProcesses();
  void detectStall();
  void stopAtTheEnd();
  void probeAll();
  void scheduleFaults();
  void disturb();

  // Faults; each ends by itself.
  void disturbProcess(std::size_t aNumber, Duration aSpan);
  void injectPlannedStop(std::size_t aNumber);
  void disturbStore(Duration aSpan);
  void denyStoreAccess(std::size_t aNumber, Duration aSpan);
  void disturbTargetLink(Duration aSpan);
  void disturbTarget(Duration aSpan);
  void disturbCallerLink(std::size_t aNumber, Duration aSpan);
  void drainTarget();
  void logFault(const std::string& aText);

  SoakOptions mOptions;
  Random mRandom;
  EventLoop mLoop;
  InvariantChecker mChecker;
  standins::RowStoreServer mStore;
  std::vector<Instance> mInstances;
  std::vector<Target> mTargets;
  std::unique_ptr<Callers> mCallers;
  std::uint64_t mVersion = 0;
  TimePoint mStarted;
  TimePoint mFaultsEnd;
  TimePoint mEnd;
  TimePoint mWatchedAt;
  int mStalls = 0;
};

} // namespace bulrushrun::soak
