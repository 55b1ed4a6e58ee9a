#include "standins/TargetStandIn.h"

#include "bulrushrun/configuration.h"
#include "bulrushrun/net/SignalWatcher.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

ABSL_FLAG(std::string, configuration, "", "configuration file whose targets are simulated");
ABSL_FLAG(double, answer_ms, 10, "mean response time in milliseconds");
ABSL_FLAG(int, answer_bytes, 1024, "size of a response body in bytes");

int main(int aCount, char** aArguments)
{
  using namespace bulrushrun;
  absl::SetProgramUsageMessage("Stand-ins for all targets of a configuration.");
  absl::ParseCommandLine(aCount, aArguments);
  const std::string path = absl::GetFlag(FLAGS_configuration);
  Findings findings;
  const std::optional<Document> document =
    readDocument(readFile(path).value_or(""), path, findings);
  if (!document) {
    std::cerr << findings.report();
    return 2;
  }
  EventLoop loop;
  const SignalWatcher stopSignals{ loop, { SIGTERM, SIGINT }, [&] { loop.stop(); } };
  standins::ExecutionCounts executionCounts;
  std::vector<std::unique_ptr<standins::TargetStandIn>> targets;
  for (const Tenant& tenant : document->mTenants) {
    for (const Service& service : tenant.mServices) {
      for (const TargetSpec& target : service.mTargets) {
        const standins::TargetStandInOptions options{
          target.mSlots,
          fromSeconds(absl::GetFlag(FLAGS_answer_ms) / 1000),
          static_cast<std::size_t>(absl::GetFlag(FLAGS_answer_bytes))
        };
        targets.push_back(std::make_unique<standins::TargetStandIn>(
          loop, target.mEndpoint, options, executionCounts));
      }
    }
  }
  loop.run();
  return 0;
}
