#include "scenario/ScenarioRun.h"

namespace bulrushrun::scenario {

namespace {

SimulationOptions simulationOptions(const Scenario& aScenario)
{
  SimulationOptions options = aScenario.mSimulation;
  options.mSeed = aScenario.mSeed;
  return options;
}

PlatformMode platformMode(const std::string& aMode)
{
  static const std::map<std::string, PlatformMode> kModes{
    { "outage", PlatformMode::Outage },
    { "silent", PlatformMode::Unresponsive },
    { "loses-answers", PlatformMode::LosesAnswers },
    { "applies-late", PlatformMode::AppliesLate }
  };
  return kModes.at(aMode);
}

TargetMode targetMode(const std::string& aMode)
{
  static const std::map<std::string, TargetMode> kModes{ { "dead", TargetMode::Down },
                                                         { "silent", TargetMode::Unresponsive },
                                                         { "crossed",
                                                           TargetMode::MismatchedExchange },
                                                         { "cut", TargetMode::Truncated },
                                                         { "slow", TargetMode::Slow } };
  return kModes.at(aMode);
}

} // namespace

ScenarioRun::ScenarioRun(const Scenario& aScenario,
                         const std::string& aConfiguration,
                         const Document& aDocument)
  : mScenario(aScenario)
  , mConfiguration(aConfiguration)
  , mSimulation(simulationOptions(aScenario), aDocument)
  , mCallers(mSimulation, aScenario.mLoad, combineHashes(aScenario.mSeed, 77))
  , mEnd(TimePoint{} + kWarmUp + aScenario.mDuration)
{
}

RunReport ScenarioRun::run()
{
  VirtualNetwork& network = mSimulation.network();
  network.runUntil(TimePoint{} + std::chrono::seconds(1));
  applyNextConfiguration();
  checkVersions();
  network.runUntil(TimePoint{} + kWarmUp);
  mCallers.start(mEnd);
  for (const TimedAction& action : mScenario.mActions) {
    scheduleAction(action);
  }
  network.runUntil(mEnd + kSettlingTime);
  RunReport report;
  report.mViolations = mSimulation.checker().checkAtEnd();
  report.mClasses = mSimulation.checker().classes();
  report.mAdoptionTime = mAdoptionTime;
  report.mTransactions = mSimulation.platform().transactionCount();
  report.mReads = mSimulation.platform().readCount();
  checkExpectations(report);
  return report;
}

void ScenarioRun::scheduleAction(const TimedAction& aAction)
{
  mSimulation.network().after(aAction.mAt, [this, aAction] { startAction(aAction); });
  if (aAction.mFor > Duration{ 0 }) {
    mSimulation.network().after(aAction.mAt + aAction.mFor,
                                [this, aAction] { endAction(aAction); });
  }
}

void ScenarioRun::startAction(const TimedAction& aAction)
{
  mSimulation.trace("begin " + actionName(aAction.mKind) + " " + aAction.mSubject + " " +
                    aAction.mMode + " for " + std::to_string(toMillis(aAction.mFor)) + " ms");
  VirtualNetwork& network = mSimulation.network();
  const std::optional<NodeIndex> node = mSimulation.nodeByName(aAction.mSubject);
  FakeTarget* target = mSimulation.targetByName(aAction.mSubject);
  switch (aAction.mKind) {
    case ActionKind::Crash:
    case ActionKind::Restart:
      mSimulation.crash(node.value());
      return;
    case ActionKind::Pause:
      network.pause(node.value());
      return;
    case ActionKind::Stop:
      mSimulation.stop(node.value());
      return;
    case ActionKind::CutZone:
      network.setCut(ZoneName{ aAction.mSubject }, true);
      return;
    case ActionKind::CutPlatform:
      network.setCutFromPlatform(ZoneName{ aAction.mSubject }, true);
      return;
    case ActionKind::PlatformFault:
      mSimulation.platform().setMode(platformMode(aAction.mMode));
      return;
    case ActionKind::TargetFault:
      target->setMode(targetMode(aAction.mMode));
      return;
    case ActionKind::TargetLeaves:
      if (aAction.mMode == "list") {
        target->leaveByInstanceList();
        mSimulation.platform().addLeavingInstance(target->spec().mEndpoint,
                                                  [target] { target->onListRead(); });
      } else {
        target->leave();
      }
      return;
    case ActionKind::MessageLoss:
      network.setLoss(aAction.mShare);
      return;
    case ActionKind::ApplyConfiguration:
      applyNextConfiguration();
      return;
  }
}

void ScenarioRun::endAction(const TimedAction& aAction)
{
  VirtualNetwork& network = mSimulation.network();
  const std::optional<NodeIndex> node = mSimulation.nodeByName(aAction.mSubject);
  switch (aAction.mKind) {
    case ActionKind::Restart:
      mSimulation.restart(node.value());
      return;
    case ActionKind::Pause:
      network.resume(node.value());
      return;
    case ActionKind::CutZone:
      network.setCut(ZoneName{ aAction.mSubject }, false);
      return;
    case ActionKind::CutPlatform:
      network.setCutFromPlatform(ZoneName{ aAction.mSubject }, false);
      return;
    case ActionKind::PlatformFault:
      mSimulation.platform().setMode(PlatformMode::Normal);
      return;
    case ActionKind::TargetFault:
      mSimulation.targetByName(aAction.mSubject)->setMode(TargetMode::Normal);
      return;
    case ActionKind::MessageLoss:
      network.setLoss(0);
      return;
    case ActionKind::Crash:
    case ActionKind::Stop:
    case ActionKind::TargetLeaves:
    case ActionKind::ApplyConfiguration:
      return;
  }
}

/// Applies a changed configuration, as an operator does, at the first reachable node.
void ScenarioRun::applyNextConfiguration()
{
  const std::string text = mConfiguration + "# change " + std::to_string(++mAppliedCount) + "\n";
  for (NodeIndex node = 0; node < mSimulation.nodeCount(); ++node) {
    if (isReachable(node)) {
      mSimulation.applyConfiguration(node, text);
      return;
    }
  }
}

bool ScenarioRun::isReachable(NodeIndex aNode) const
{
  ScenarioRun& self = const_cast<ScenarioRun&>(*this);
  VirtualNetwork& network = self.mSimulation.network();
  return network.isUp(aNode) && !network.isPaused(aNode) &&
         !network.isCutFromPlatform(network.zoneOf(aNode));
}

/// Reads the current version in the store and on every node: checks that no node goes back to an
/// older version, and measures how long nodes take to adopt a new one. Repeats itself periodically.
void ScenarioRun::checkVersions()
{
  VirtualNetwork& network = mSimulation.network();
  const TableRecord* head = mSimulation.platform().record(kCurrentVersionKey);
  const ConfigurationVersion accepted{ head == nullptr ? 0 : head->mVersion.value() };
  if (accepted > mAccepted) {
    mAccepted = accepted;
    mAcceptedAt = network.now();
    mDisseminating = true;
  }
  bool everywhere = true;
  for (NodeIndex node = 0; node < mSimulation.nodeCount(); ++node) {
    if (!network.isUp(node)) {
      continue;
    }
    const ConfigurationVersion version = mSimulation.instance(node).configuration().mVersion;
    if (version.value() > 0) {
      mSimulation.checker().onVersion(mSimulation.settings(node).mInstance.text(), version);
    }
    everywhere = everywhere && (!isReachable(node) || version >= mAccepted);
  }
  if (mDisseminating && everywhere) {
    mDisseminating = false;
    mAdoptionTime = std::max(mAdoptionTime, network.now() - mAcceptedAt);
  }
  network.after(kVersionCheckPeriod, [this] { checkVersions(); });
}

void ScenarioRun::checkExpectations(RunReport& aReport) const
{
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  for (const auto& [name, statistics] : aReport.mClasses) {
    sent += statistics.mSent;
    answered += statistics.mAnswered;
  }
  const double share = sent == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(sent);
  if (share < mScenario.mExpectations.mAnsweredShare) {
    aReport.mMissedExpectations.push_back("answered share is too low: " + std::to_string(share));
  }
  const Duration added = claimOverhead(aReport);
  if (mScenario.mExpectations.mClaimOverhead > Duration{ 0 } &&
      added > mScenario.mExpectations.mClaimOverhead) {
    aReport.mMissedExpectations.push_back(
      "latency added by a claim is too high: " + std::to_string(toMillis(added)) + " ms");
  }
  const Duration bound = mScenario.mExpectations.mAdoptionTime;
  if (bound > Duration{ 0 } && (mDisseminating || mAdoptionTime > bound)) {
    aReport.mMissedExpectations.push_back(
      "slowest adoption of a configuration took " + std::to_string(toMillis(mAdoptionTime)) +
      " ms" + (mDisseminating ? ", and the latest is not yet adopted everywhere" : ""));
  }
}

/// Highest median latency of a class with claims, minus the lowest of one without.
Duration ScenarioRun::claimOverhead(const RunReport& aReport) const
{
  Duration worst{ 0 };
  Duration best = Duration::max();
  for (const Tenant& tenant : mSimulation.document().mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const RequestClass& requestClass : service.mClasses) {
        const auto statistics =
          aReport.mClasses.find(service.mName.text() + "/" + requestClass.mName.text());
        if (statistics == aReport.mClasses.end()) {
          continue;
        }
        const Duration median = statistics->second.quantile(0.5);
        worst = requestClass.mRepeatable ? worst : std::max(worst, median);
        best = requestClass.mRepeatable ? std::min(best, median) : best;
      }
    }
  }
  return worst - best;
}

} // namespace bulrushrun::scenario
