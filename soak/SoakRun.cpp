#include "soak/SoakRun.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <utility>

namespace bulrushrun::soak {

namespace {

/// Time for the start of all processes, time for recovery after the last fault, and time at the end
/// in which the success share is measured.
constexpr Duration kStartupTime = std::chrono::seconds(6);
constexpr Duration kRecoveryTime = std::chrono::seconds(12);
constexpr Duration kFinalWindow = std::chrono::seconds(4);
/// Time for the last responses after the end of the load.
constexpr Duration kLastResponsesTime = std::chrono::seconds(4);
constexpr double kMinFinalSuccessShare = 0.95;
constexpr Duration kConfigurationInterval = std::chrono::milliseconds(2300);
constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
constexpr Duration kReapInterval = std::chrono::milliseconds(50);
/// A timer that is delayed by more than this indicates that the whole machine stalled.
constexpr Duration kMinStall = std::chrono::milliseconds(500);

constexpr std::size_t kProbeServices = 3;
constexpr std::size_t kZones = 3;
/// Work that may take longer than a planned stop leaves.
constexpr std::size_t kSlowTargets = 3;
constexpr double kSlowExecutionMillis = 1500;

std::string zoneOf(std::size_t aNumber)
{
  return std::string("z") + static_cast<char>('a' + aNumber % kZones);
}

} // namespace

SoakRun::SoakRun(SoakOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mWishRandom(mOptions.mSeed + 1)
  , mChecker(mOptions.mInstances)
  , mStore(mLoop, mRandom.next())
{
}

/// Derives loopback addresses from the process id, so that several runs can share a machine.
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
                            const std::string& aComment)
{
  std::ofstream file{ aInstance.mSettingsPath };
  file << "# " << aComment << "\ninstance: n" << aNumber << "\nzone: " << zoneOf(aNumber)
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

void SoakRun::addTarget(const std::string& aService, double aExecutionMillis)
{
  const std::size_t number = mTargets.size();
  standins::RegisteredTargetOptions setup;
  setup.mId = "t" + std::to_string(number);
  setup.mService = aService;
  setup.mZone = zoneOf(number);
  setup.mExecutionTime = fromSeconds(aExecutionMillis / 1000);
  Target target;
  target.mAddress = endpoint(number + 100, 7000);
  const Endpoint serverAddress = endpoint(number + 100, 6000);
  target.mServer = std::make_unique<standins::RegisteredTarget>(
    mLoop,
    serverAddress,
    std::move(setup),
    mRandom.next(),
    [this](const std::string& aId, const standins::RegisteredTarget& aTarget) {
      mChecker.onExecution(aId, aTarget, EventLoop::now());
    });
  target.mServer->setOnArrival(
    [this](const std::string& aId, const standins::RegisteredTarget& aTarget) {
      mChecker.onArrival(aId, aTarget, EventLoop::now());
    });
  target.mServer->setOnHeaders(
    [this](const HttpRequest& aRequest, const standins::RegisteredTarget& aTarget) {
      mChecker.onHeaders(aRequest, aTarget);
    });
  target.mServer->setOnRest(
    [this](const std::string& aId, const standins::RegisteredTarget& aTarget, Duration aTime) {
      mChecker.onRest(aId, aTarget, aTime, EventLoop::now());
    });
  target.mFaultProxy = std::make_unique<FaultProxy>(mLoop, target.mAddress, serverAddress);
  mTargets.push_back(std::move(target));
  putTarget(mTargets.back());
}

void SoakRun::putTarget(const Target& aTarget)
{
  mStore.put(
    "servers", aTarget.mServer->setup().mId, aTarget.mServer->registration(aTarget.mAddress));
}

/// Publishes the next configuration version, which routes the probes to another service.
void SoakRun::putConfiguration()
{
  ++mVersion;
  const std::string probes = "probe-" + std::to_string(mVersion % kProbeServices);
  const auto route = [](const std::string& aName,
                        const std::string& aKind,
                        const std::string& aTargetService,
                        Duration aTimeout = Callers::kRouteTimeout) {
    return R"({"name":")" + aName + R"(","host":"shop","pathPrefix":"/)" + aName +
           R"(/","kind":")" + aKind + R"(","timeoutMs":)" + std::to_string(toMillis(aTimeout)) +
           R"(,"maxAttempts":2,"sticky":true,"service":")" + aTargetService + R"("})";
  };
  const std::string version = "r" + std::to_string(mVersion);
  mStore.put(
    "op",
    "config",
    R"({"version":")" + version + R"(","routes":[)" + route("read", "safe", "work") + "," +
      route("files", "download", "work") + "," + route("order", "non_idempotent", "work") + "," +
      route("probe", "safe", probes) + "," +
      route("slow", "non_idempotent", "slow", Callers::kSlowTimeout) +
      R"(],"services":[{"name":"work","coldStartS":1.0,"coldPerS":20}],"limits":{},"tenants":)" +
      CallerKey::customers(mVersion) + "}");
  mChecker.onVersion(mVersion, EventLoop::now());
  if (EventLoop::now() < mEndAt && !mOptions.mCalm) {
    mLoop.after(kConfigurationInterval, [this] { putConfiguration(); });
  }
}

void SoakRun::logFault(const std::string& aText)
{
  const double elapsed = toSeconds(EventLoop::now() - mStartedAt);
  std::ofstream{ mOptions.mFolder + "/faults.log", std::ios::app } << elapsed << " " << aText
                                                                   << "\n";
}

/// After a stall of the machine, time bounds hold again only after the settling time, and the time
/// for recovery starts again.
void SoakRun::detectStall()
{
  const TimePoint now = EventLoop::now();
  const Duration delay = now - std::exchange(mLastCheckAt, now) - kReapInterval;
  if (delay < kMinStall) {
    return;
  }
  logFault("machine stalled for " + std::to_string(toMillis(delay)) + " ms");
  ++mStalls;
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    mChecker.instance(i).addDisturbance(now);
  }
  mChecker.store().addDisturbance(now);
  mChecker.targets().addDisturbance(now);
  mEndAt = std::max(mEndAt, now + kRecoveryTime + kFinalWindow);
}

void SoakRun::stopWhenDone()
{
  const TimePoint now = EventLoop::now();
  if (now < mEndAt) {
    mLoop.after(mEndAt - now, [this] { stopWhenDone(); });
    return;
  }
  mCallers->stop();
  mLoop.after(kLastResponsesTime, [this] { mLoop.stop(); });
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
      mChecker.report("unexpected end of a process: " + end);
    }
    if (std::exchange(instance.mPlannedStop, false)) {
      mChecker.onPlannedEnd(i, now + std::chrono::seconds(1));
    } else {
      mChecker.instance(i).addDisturbance(now + std::chrono::seconds(1));
    }
    mChecker.onRestart(i);
    mLoop.after(std::chrono::milliseconds(mRandom.below(1500)),
                [this, i] { mInstances[i].mProcess->start(); });
  }
  mLoop.after(kReapInterval, [this] { watchProcesses(); });
}

void SoakRun::probeAll()
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    mCallers->probe(i);
  }
  if (EventLoop::now() < mEndAt) {
    mLoop.after(kProbeInterval, [this] { probeAll(); });
  }
}

std::vector<std::string> SoakRun::execute()
{
  mStartedAt = mLastCheckAt = EventLoop::now();
  mFaultsEndAt = mStartedAt + kStartupTime + mOptions.mFaultSpan;
  mEndAt = mFaultsEndAt + kRecoveryTime + kFinalWindow;
  for (std::size_t i = 0; i < mOptions.mTargets; ++i) {
    addTarget("work", 8);
  }
  for (std::size_t i = 0; i < kSlowTargets; ++i) {
    addTarget("slow", kSlowExecutionMillis);
  }
  for (std::size_t i = 0; i < kProbeServices; ++i) {
    addTarget("probe-" + std::to_string(i), 1);
  }
  putConfiguration();
  std::vector<CallerAddress> addresses;
  for (std::size_t i = 0; i < mOptions.mInstances; ++i) {
    addInstance(i);
    addresses.push_back(mInstances.back().mAddress);
    mChecker.instance(i).addDisturbance(mStartedAt + kStartupTime / 2);
  }
  mCallers = std::make_unique<Callers>(mLoop, mChecker, addresses, Random{ mRandom.next() });
  watchProcesses();
  mLoop.after(kStartupTime / 2, [this] {
    mCallers->run(mOptions.mRequestsPerSecond);
    probeAll();
  });
  if (!mOptions.mCalm) {
    mLoop.after(kStartupTime, [this] {
      scheduleFaults();
      scheduleRests();
    });
  }
  stopWhenDone();
  mLoop.run();
  mChecker.checkAtEnd();
  const double successShare = mChecker.successShareSince(mEndAt - kFinalWindow);
  if (successShare < kMinFinalSuccessShare) {
    mChecker.report("not recovered: success share at the end is " + std::to_string(successShare));
  }
  return mChecker.findings();
}

std::string SoakRun::summary() const
{
  std::size_t repeatedRefusals = 0;
  std::size_t answersCut = 0;
  for (const Target& target : mTargets) {
    repeatedRefusals += target.mFaultProxy->repeatedRefusals();
    answersCut += target.mFaultProxy->answersCut();
  }
  return mChecker.summary() + ", answers cut " + std::to_string(answersCut) +
         ", success share at the end " +
         std::to_string(mChecker.successShareSince(mEndAt - kFinalWindow)) +
         ", repeated refusals " + std::to_string(repeatedRefusals) + ", stalls of the machine " +
         std::to_string(mStalls);
}

} // namespace bulrushrun::soak
