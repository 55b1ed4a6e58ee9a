#include "soak/SoakRun.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <utility>

namespace bulrushrun::soak {

namespace {

/// Time for the start of everything, and time at the end in which all must be well again.
constexpr Duration kStartSpan = std::chrono::seconds(6);
constexpr Duration kRecoverySpan = std::chrono::seconds(12);
constexpr Duration kLastSpan = std::chrono::seconds(4);
/// Time for the last answers.
constexpr Duration kAfterEnd = std::chrono::seconds(4);
constexpr double kServedAtTheEnd = 0.95;
constexpr Duration kPlanPeriod = std::chrono::milliseconds(2300);
constexpr Duration kProbePeriod = std::chrono::milliseconds(400);
constexpr Duration kReapPeriod = std::chrono::milliseconds(50);
/// A timer that is later than this shows that the whole machine stood still, or nearly.
constexpr Duration kStandstill = std::chrono::milliseconds(500);

constexpr std::size_t kProbeServices = 3;
constexpr std::size_t kZones = 3;

std::string zoneOf(std::size_t aNumber)
{
  return std::string("z") + static_cast<char>('a' + aNumber % kZones);
}

} // namespace

SoakRun::SoakRun(SoakOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mChecker(mOptions.mInstances)
  , mStore(mLoop, mRandom.next())
{
}

/// Addresses of this process only, so that several runs fit on one machine.
Endpoint SoakRun::endpoint(std::size_t aNumber, std::uint16_t aPort) const
{
  const std::uint32_t process = static_cast<std::uint32_t>(::getpid()) & 0x3fffU;
  return { 0x7f400000U + (process << 8U) + static_cast<std::uint32_t>(aNumber) + 1, aPort };
}

void SoakRun::addInstance(std::size_t aNumber)
{
  Instance instance;
  instance.mAddress = { endpoint(aNumber, 8001), endpoint(aNumber, 8002), endpoint(aNumber, 7001) };
  instance.mStoreEndpoint = endpoint(aNumber, 9000);
  mStore.open(instance.mStoreEndpoint);
  instance.mCallerFaultProxy =
    std::make_unique<FaultProxy>(mLoop, instance.mAddress.mProxy, instance.mAddress.mListen);
  const std::string stem = mOptions.mFolder + "/n" + std::to_string(aNumber);
  instance.mSettingsPath = stem + ".yaml";
  writeSettings(instance, aNumber, "first");
  instance.mProcess =
    std::make_unique<DaemonProcess>(mOptions.mProgram, instance.mSettingsPath, stem + ".log");
  instance.mProcess->start();
  mInstances.push_back(std::move(instance));
}

void SoakRun::writeSettings(const Instance& aInstance,
                            std::size_t aNumber,
                            const std::string& aRemark)
{
  std::ofstream file{ aInstance.mSettingsPath };
  file << "# " << aRemark << "\ninstance: n" << aNumber << "\nzone: " << zoneOf(aNumber)
       << "\nregions: { za: r, zb: r, zc: q }\nlisten: " << aInstance.mAddress.mListen.text()
       << "\nlookup: " << aInstance.mAddress.mLookup.text()
       << "\nreadiness: " << endpoint(aNumber, 8003).text()
       << "\nmetrics: " << endpoint(aNumber, 8004).text()
       << "\npeer: " << endpoint(aNumber, 8005).text()
       << "\nnews: " << endpoint(aNumber, 8006).text()
       << "\nstore: " << aInstance.mStoreEndpoint.text() << "\nseeds: [ \""
       << endpoint(0, 8005).text() << "\", \"" << endpoint(1, 8005).text()
       << "\" ]\npeer_keys: [ \"key of a soak\" ]\nbounds: { drain_ms: 2500, "
          "configuration_apply_ms: 2500, grace_s: 6, retry_ratio: 0.2, retry_window_s: 10, "
          "retry_slack: 60, cold_factor: 1.5, cold_slack: 5 }\n";
}

void SoakRun::addTarget(const std::string& aService, double aRunMillis)
{
  const std::size_t number = mTargets.size();
  standins::RegisteredTargetOptions setup;
  setup.mId = "t" + std::to_string(number);
  setup.mService = aService;
  setup.mZone = zoneOf(number);
  setup.mExecutionTime = fromSeconds(aRunMillis / 1000);
  Target target;
  target.mAddress = endpoint(number + 100, 7000);
  const Endpoint behind = endpoint(number + 100, 6000);
  target.mServer = std::make_unique<standins::RegisteredTarget>(
    mLoop,
    behind,
    std::move(setup),
    mRandom.next(),
    [this](const std::string& aId, const standins::RegisteredTarget& aTarget) {
      mChecker.onExecution(aId, aTarget, EventLoop::now());
    });
  target.mFaultProxy = std::make_unique<FaultProxy>(mLoop, target.mAddress, behind);
  mTargets.push_back(std::move(target));
  putTarget(mTargets.back());
}

void SoakRun::putTarget(const Target& aTarget)
{
  mStore.put(
    "servers", aTarget.mServer->setup().mId, aTarget.mServer->registration(aTarget.mAddress));
}

/// Each version sends the probes to another service.
void SoakRun::putConfiguration()
{
  ++mVersion;
  const std::string probes = "probe-" + std::to_string(mVersion % kProbeServices);
  const auto route =
    [](const std::string& aName, const std::string& aKind, const std::string& aTo) {
      return R"({"name":")" + aName + R"(","host":"shop","pathPrefix":"/)" + aName +
             R"(/","kind":")" + aKind + R"(","timeoutMs":2000,"maxAttempts":2,"sticky":true,)" +
             R"("service":")" + aTo + R"("})";
    };
  const std::string version = "r" + std::to_string(mVersion);
  mStore.put("op",
             "config",
             R"({"version":")" + version + R"(","routes":[)" + route("read", "safe", "work") + "," +
               route("files", "download", "work") + "," + route("order", "non_idempotent", "work") +
               "," + route("probe", "safe", probes) +
               R"(],"services":[{"name":"work","coldStartS":1.0,"coldPerS":20}],"limits":{}})");
  mChecker.onVersion(mVersion, EventLoop::now());
  if (EventLoop::now() < mEnd && !mOptions.mCalm) {
    mLoop.after(kPlanPeriod, [this] { putConfiguration(); });
  }
}

void SoakRun::logFault(const std::string& aText)
{
  const double at = toSeconds(EventLoop::now() - mStarted);
  std::ofstream{ mOptions.mFolder + "/faults.log", std::ios::app } << at << " " << aText << "\n";
}

/// Bounds in time hold again only after a while, and recovery begins anew.
void SoakRun::detectStall()
{
  const TimePoint now = EventLoop::now();
  const Duration late = now - std::exchange(mWatchedAt, now) - kReapPeriod;
  if (late < kStandstill) {
    return;
  }
  logFault("the machine stood still for " + std::to_string(toMillis(late)) + " ms");
  ++mStalls;
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    mChecker.instance(i).disturb(now);
  }
  mChecker.store().disturb(now);
  mChecker.targets().disturb(now);
  mEnd = std::max(mEnd, now + kRecoverySpan + kLastSpan);
}

void SoakRun::stopAtTheEnd()
{
  const TimePoint now = EventLoop::now();
  if (now < mEnd) {
    mLoop.after(mEnd - now, [this] { stopAtTheEnd(); });
    return;
  }
  mCallers->stop();
  mLoop.after(kAfterEnd, [this] { mLoop.stop(); });
}

void SoakRun::watchProcesses()
{
  detectStall();
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    Instance& instance = mInstances[i];
    const std::optional<int> status = instance.mProcess->reap();
    if (!status) {
      continue;
    }
    const TimePoint now = EventLoop::now();
    const std::string end =
      "instance " + std::to_string(i) + " ended with " + std::to_string(*status);
    logFault(end);
    if (!std::exchange(instance.mStopRequested, false)) {
      mChecker.report("by itself: " + end);
    }
    mChecker.instance(i).disturb(now + std::chrono::seconds(1));
    mChecker.onRestart(i);
    mLoop.after(std::chrono::milliseconds(mRandom.below(1500)),
                [this, i] { mInstances[i].mProcess->start(); });
  }
  mLoop.after(kReapPeriod, [this] { watchProcesses(); });
}

void SoakRun::probeAll()
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    mCallers->probe(i);
  }
  if (EventLoop::now() < mEnd) {
    mLoop.after(kProbePeriod, [this] { probeAll(); });
  }
}

std::vector<std::string> SoakRun::execute()
{
  mStarted = mWatchedAt = EventLoop::now();
  mFaultsEnd = mStarted + kStartSpan + mOptions.mFaultSpan;
  mEnd = mFaultsEnd + kRecoverySpan + kLastSpan;
  for (std::size_t i = 0; i < mOptions.mTargets; ++i) {
    addTarget("work", 8);
  }
  for (std::size_t i = 0; i < kProbeServices; ++i) {
    addTarget("probe-" + std::to_string(i), 1);
  }
  putConfiguration();
  std::vector<CallerAddress> addresses;
  for (std::size_t i = 0; i < mOptions.mInstances; ++i) {
    addInstance(i);
    addresses.push_back(mInstances.back().mAddress);
    mChecker.instance(i).disturb(mStarted + kStartSpan / 2);
  }
  mCallers = std::make_unique<Callers>(mLoop, mChecker, addresses, Random{ mRandom.next() });
  watchProcesses();
  mLoop.after(kStartSpan / 2, [this] {
    mCallers->run(mOptions.mRequestsPerSecond);
    probeAll();
  });
  if (!mOptions.mCalm) {
    mLoop.after(kStartSpan, [this] { scheduleFaults(); });
  }
  stopAtTheEnd();
  mLoop.run();
  mChecker.checkAtEnd();
  const double served = mChecker.successShareSince(mEnd - kLastSpan);
  if (served < kServedAtTheEnd) {
    mChecker.report("not recovered: served share at the end is " + std::to_string(served));
  }
  return mChecker.findings();
}

std::string SoakRun::summary() const
{
  return mChecker.summary() + ", served at the end " +
         std::to_string(mChecker.successShareSince(mEnd - kLastSpan)) +
         ", standstills of the machine " + std::to_string(mStalls);
}

} // namespace bulrushrun::soak
