#include "soak/SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, program, "build/bulrushrund-platform", "program of the instances");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(int, runs, 1, "runs, with a seed each from the first one on");
ABSL_FLAG(int, instances, 6, "processes of each run");
ABSL_FLAG(int, targets, 8, "targets of the service that does the work");
ABSL_FLAG(double, rate, 80, "requests per second of each run");
ABSL_FLAG(double, seconds, 20, "seconds with faults of each run");
ABSL_FLAG(bool, calm, false, "no faults and no planned work");
ABSL_FLAG(std::string, folder, "", "folder for settings and logs; a temporary one where empty");

namespace {

using namespace bulrushrun;

/// \returns true when the run kept all promises; otherwise its folder stays.
bool playOne(std::uint64_t aSeed)
{
  namespace fs = std::filesystem;
  const std::string given = absl::GetFlag(FLAGS_folder);
  const fs::path folder =
    given.empty() ? fs::temp_directory_path() / "bulrush-soak" : fs::path{ given };
  soak::SoakOptions plan;
  plan.mSeed = aSeed;
  plan.mInstances = static_cast<std::size_t>(absl::GetFlag(FLAGS_instances));
  plan.mTargets = static_cast<std::size_t>(absl::GetFlag(FLAGS_targets));
  plan.mRequestsPerSecond = absl::GetFlag(FLAGS_rate);
  plan.mFaultSpan = fromSeconds(absl::GetFlag(FLAGS_seconds));
  plan.mCalm = absl::GetFlag(FLAGS_calm);
  plan.mProgram = absl::GetFlag(FLAGS_program);
  plan.mFolder = folder / ("seed-" + std::to_string(aSeed));
  fs::remove_all(plan.mFolder);
  fs::create_directories(plan.mFolder);
  soak::SoakRun run{ plan };
  const std::vector<std::string> findings = run.execute();
  std::cout << "seed " << aSeed << ": " << run.summary() << ", findings " << findings.size()
            << std::endl;
  for (const std::string& finding : findings) {
    std::cout << "  " << finding << "\n";
  }
  if (findings.empty()) {
    fs::remove_all(plan.mFolder);
  } else {
    std::cout << "  settings, logs and the list of faults: " << plan.mFolder << "\n";
  }
  return findings.empty();
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "real instances between stand-ins, disturbed from outside; checks the promises while they run\n"
    "  bulrush-soak [--seed=N] [--runs=N] [--instances=N] [--calm]\n"
    "exit code 0 when every run kept all promises, 1 when one did not");
  absl::ParseCommandLine(aCount, aArguments);
  std::signal(SIGPIPE, SIG_IGN);
  bool kept = true;
  try {
    for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
      kept = playOne(absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i)) && kept;
    }
  } catch (const std::exception& error) {
    std::cerr << "bulrush-soak: " << error.what() << "\n";
    return 2;
  }
  return kept ? 0 : 1;
}
