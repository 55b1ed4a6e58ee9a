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
#include <set>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief Parameters of one run.
struct SoakOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mInstances = 6;
  std::size_t mTargets = 8;
  double mRequestsPerSecond = 80;
  /// Duration of the fault injection; it is preceded and followed by time without faults.
  Duration mFaultSpan = std::chrono::seconds(20);
  /// Mean time between the starts of two faults.
  Duration mFaultPause = std::chrono::milliseconds(900);
  /// Inject no faults and no maintenance.
  bool mCalm = false;
  /// Inject only planned work, so that no disturbance excuses an interrupted request.
  bool mPlannedOnly = false;
  /// The only faults are restores of the store to an older copy.
  bool mOnlyOlderStore = false;
  /// The only faults are targets that send earlier refusals again.
  bool mOnlyRepeatedRefusals = false;
  /// Program under test.
  std::string mProgram;
  /// Folder for settings and logs.
  std::string mFolder;
};

/// \brief One run: real instance processes with stand-ins for their environment, and faults
/// injected according to a seeded random schedule.
class SoakRun
{
public:
  explicit SoakRun(SoakOptions aOptions);
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;
  SoakRun(SoakRun&&) = delete;
  SoakRun& operator=(SoakRun&&) = delete;
  ~SoakRun() = default;

  /// \brief Executes the run. \returns the findings: violated guarantees
  std::vector<std::string> execute();
  /// \brief \returns one line with the results of the run.
  std::string summary() const;

private:
  struct Instance
  {
    CallerAddress mAddress;
    Endpoint mStoreEndpoint;
    std::unique_ptr<FaultProxy> mCallerFaultProxy;
    std::unique_ptr<DaemonProcess> mProcess;
    std::string mSettingsPath;
    /// This run has sent a signal that ends the process.
    bool mStopRequested = false;
    /// That signal was the one of a planned stop.
    bool mPlannedStop = false;
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
  void addTarget(const std::string& aService, double aExecutionMillis);
  void writeSettings(const Instance& aInstance, std::size_t aNumber, const std::string& aComment);
  void putTarget(const Target& aTarget);
  void putConfiguration();
  void watchProcesses();
  void detectStall();
  void stopWhenDone();
  void probeAll();
  void scheduleFaults();
  void injectFault();

  // Faults; each ends after its duration.
  void injectProcessFault(std::size_t aNumber, Duration aDuration);
  void injectPlannedStop(std::size_t aNumber);
  void injectStoreFault(Duration aDuration);
  void setStoreFaults(const standins::StoreFaults& aFaults);
  void restoreStore();
  void rewriteRows();
  void denyStoreAccess(std::size_t aNumber, Duration aDuration);
  void injectTargetNetworkFault(Duration aDuration);
  void injectTargetFault(Duration aDuration);
  void injectRepeatedRefusals(Duration aDuration);
  void cutAnswers(double aProbability);
  void injectCallerNetworkFault(std::size_t aNumber, Duration aDuration);
  void drainTarget();
  void scheduleRests();
  void logFault(const std::string& aText);

  SoakOptions mOptions;
  Random mRandom;
  /// For what targets say in their answers; separate, so that seeds keep their other faults.
  Random mWishRandom;
  /// For restores of the store; separate for the same reason.
  Random mRestoreRandom;
  EventLoop mLoop;
  InvariantChecker mChecker;
  standins::RowStoreServer mStore;
  std::vector<Instance> mInstances;
  std::vector<Target> mTargets;
  std::unique_ptr<Callers> mCallers;
  std::uint64_t mVersion = 0;
  /// The row with the newest configuration.
  std::string mConfiguration;
  /// Targets that have left and removed their rows.
  std::set<std::string> mRemovedTargets;
  TimePoint mStartedAt;
  TimePoint mFaultsEndAt;
  TimePoint mEndAt;
  TimePoint mLastCheckAt;
  int mStalls = 0;
};

} // namespace bulrushrun::soak
