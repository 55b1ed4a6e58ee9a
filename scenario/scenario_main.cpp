#include "scenario/RandomSchedule.h"
#include "scenario/ScenarioRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <iostream>

ABSL_FLAG(std::uint64_t, random, 0, "run this many random fault schedules");
ABSL_FLAG(std::uint64_t,
          seed,
          0,
          "seed of a scenario (default: the one in its file), or of the first schedule");
ABSL_FLAG(bool, trace, false, "print events and injected faults with their virtual time");
ABSL_FLAG(bool, verbose, false, "print the report of every run, not only of failed ones");

namespace {

using namespace bulrushrun;
using namespace bulrushrun::scenario;

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

int runFile(const std::string& aPath)
{
  Findings findings;
  std::optional<Scenario> scenario = readScenario(readFile(aPath).value_or(""), aPath, findings);
  const std::string deployment = scenario ? scenario->mDeployment : "";
  const std::string text = readFile(deployment).value_or("");
  const std::optional<Document> document =
    scenario ? readDocument(text, deployment, findings) : std::nullopt;
  if (!document) {
    std::cerr << findings.report();
    return kExitBadInput;
  }
  scenario->mSimulation.mTrace = absl::GetFlag(FLAGS_trace);
  if (absl::GetFlag(FLAGS_seed) != 0) {
    scenario->mSeed = absl::GetFlag(FLAGS_seed);
  }
  const RunReport report = ScenarioRun{ *scenario, text, *document }.run();
  std::cout << describe(scenario->mName, report);
  return report.passed() ? 0 : kExitFailed;
}

int runRandom(std::uint64_t aCount, std::uint64_t aFirst)
{
  const std::string text = smallDeployment();
  Findings findings;
  const std::optional<Document> document = readDocument(text, "small", findings);
  Violations total;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = aFirst; seed < aFirst + aCount; ++seed) {
    Scenario scenario = randomScenario(seed);
    scenario.mSimulation.mTrace = absl::GetFlag(FLAGS_trace);
    const RunReport report = ScenarioRun{ scenario, text, *document }.run();
    for (const auto& [name, statistics] : report.mClasses) {
      requests += statistics.mSent;
    }
    total.mDuplicateExecutions += report.mViolations.mDuplicateExecutions;
    total.mFalseNotRun += report.mViolations.mFalseNotRun;
    total.mWrongResponses += report.mViolations.mWrongResponses;
    total.mCutByShutdown += report.mViolations.mCutByShutdown;
    total.mRequestsToLeavingTargets += report.mViolations.mRequestsToLeavingTargets;
    total.mVersionReverts += report.mViolations.mVersionReverts;
    total.mShiftCapExceeded += report.mViolations.mShiftCapExceeded;
    failed += report.passed() ? 0 : 1;
    if (!report.passed() || absl::GetFlag(FLAGS_verbose)) {
      std::cout << describe(scenario.mName, report);
    }
  }
  std::printf(
    "%lu schedules from seed %lu, %lu requests: duplicate executions %lu, false not-run "
    "%lu, wrong responses %lu, cut by a shutdown %lu, requests to leaving targets %lu, version "
    "reverts %lu, over a shift cap %lu; failed schedules %lu\n",
    aCount,
    aFirst,
    requests,
    total.mDuplicateExecutions,
    total.mFalseNotRun,
    total.mWrongResponses,
    total.mCutByShutdown,
    total.mRequestsToLeavingTargets,
    total.mVersionReverts,
    total.mShiftCapExceeded,
    failed);
  return failed == 0 ? 0 : kExitFailed;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("runs scenarios under a virtual clock\n"
                               "  bulrush-scenario FILE… | --random=N [--seed=S]");
  const std::vector<char*> words = absl::ParseCommandLine(aCount, aArguments);
  const std::uint64_t random = absl::GetFlag(FLAGS_random);
  if (random > 0) {
    return runRandom(random, absl::GetFlag(FLAGS_seed));
  }
  int worst = words.size() > 1 ? 0 : kExitBadInput;
  for (std::size_t i = 1; i < words.size(); ++i) {
    worst = std::max(worst, runFile(words[i]));
  }
  return worst;
}
