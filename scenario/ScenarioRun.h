#pragma once

#include "scenario/RunReport.h"
#include "scenario/Scenario.h"

#include <string>

namespace bulrushrun::scenario {

/// \brief Runs one scenario under a virtual clock; the same scenario and seed yield the same run.
///
/// \param aConfiguration  text of the deployment's configuration
class ScenarioRun
{
public:
  ScenarioRun(const Scenario& aScenario,
              const std::string& aConfiguration,
              const Document& aDocument);

  /// \brief Runs the scenario, waits for requests and changes in progress, and checks the result.
  RunReport run();

private:
  static constexpr Duration kWarmUp = std::chrono::seconds(5);
  static constexpr Duration kSettlingTime = std::chrono::seconds(40);
  static constexpr Duration kVersionCheckPeriod = std::chrono::milliseconds(50);

  void scheduleAction(const TimedAction& aAction);
  void startAction(const TimedAction& aAction);
  void endAction(const TimedAction& aAction);
  void applyNextConfiguration();
  void checkVersions();
  bool isReachable(NodeIndex aNode) const;
  void checkExpectations(RunReport& aReport) const;
  Duration claimOverhead(const RunReport& aReport) const;

  Scenario mScenario;
  std::string mConfiguration;
  Simulation mSimulation;
  Callers mCallers;
  TimePoint mEnd;
  std::uint64_t mAppliedCount = 0;
  ConfigurationVersion mAccepted;
  TimePoint mAcceptedAt;
  bool mDisseminating = false;
  Duration mAdoptionTime{ 0 };
};

} // namespace bulrushrun::scenario
