#include "soak/SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, program, "build/bulrushrund-platform", "path of the program under test");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(int, runs, 1, "number of runs, with consecutive seeds");
ABSL_FLAG(int, instances, 6, "number of instances in each run");
ABSL_FLAG(int, targets, 8, "number of targets of the main service");
ABSL_FLAG(double, rate, 80, "requests per second of each run");
ABSL_FLAG(double, seconds, 20, "duration of the fault injection in each run, in seconds");
ABSL_FLAG(bool, planned, false, "inject only planned work: stops, reloads, drains of targets");
ABSL_FLAG(bool, calm, false, "inject no faults and no maintenance");
ABSL_FLAG(bool, repeated_refusals, false, "inject only targets that send refusals again");
ABSL_FLAG(bool, older_store, false, "inject only restores of the store to an older copy");
ABSL_FLAG(std::string, folder, "", "folder for settings and logs; empty for a temporary one");

namespace {

using namespace bulrushrun;

/// Executes one run. \returns true when no guarantee was violated; otherwise the folder with its
/// settings and logs is kept.
bool runSeed(std::uint64_t aSeed)
{
  namespace fs = std::filesystem;
  const std::string customFolder = absl::GetFlag(FLAGS_folder);
  const fs::path folder =
    customFolder.empty() ? fs::temp_directory_path() / "bulrush-soak" : fs::path{ customFolder };
  soak::SoakOptions options;
  options.mSeed = aSeed;
  options.mInstances = static_cast<std::size_t>(absl::GetFlag(FLAGS_instances));
  options.mTargets = static_cast<std::size_t>(absl::GetFlag(FLAGS_targets));
  options.mRequestsPerSecond = absl::GetFlag(FLAGS_rate);
  options.mFaultSpan = fromSeconds(absl::GetFlag(FLAGS_seconds));
  options.mPlannedOnly = absl::GetFlag(FLAGS_planned);
  options.mCalm = absl::GetFlag(FLAGS_calm);
  options.mOnlyOlderStore = absl::GetFlag(FLAGS_older_store);
  options.mOnlyRepeatedRefusals = absl::GetFlag(FLAGS_repeated_refusals);
  options.mProgram = absl::GetFlag(FLAGS_program);
  options.mFolder = folder / ("seed-" + std::to_string(aSeed));
  fs::remove_all(options.mFolder);
  fs::create_directories(options.mFolder);
  soak::SoakRun run{ options };
  const std::vector<std::string> findings = run.execute();
  std::cout << "seed " << aSeed << ": " << run.summary() << ", findings " << findings.size()
            << std::endl;
  for (const std::string& finding : findings) {
    std::cout << "  " << finding << "\n";
  }
  if (findings.empty()) {
    fs::remove_all(options.mFolder);
  } else {
    std::cout << "  settings, logs and injected faults: " << options.mFolder << "\n";
  }
  return findings.empty();
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "runs real instances with stand-ins for their environment, injects faults and checks the\n"
    "guarantees at the same time\n"
    "  bulrush-soak [--seed=N] [--runs=N] [--instances=N] [--calm]\n"
    "exit code 0 when no guarantee was violated, 1 when one was");
  absl::ParseCommandLine(aCount, aArguments);
  std::signal(SIGPIPE, SIG_IGN);
  bool allPassed = true;
  try {
    for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
      allPassed = runSeed(absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i)) && allPassed;
    }
  } catch (const std::exception& error) {
    std::cerr << "bulrush-soak: " << error.what() << "\n";
    return 2;
  }
  return allPassed ? 0 : 1;
}
