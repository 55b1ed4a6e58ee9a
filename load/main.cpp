#include "load/LoadGenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, configuration, "", "configuration file whose services are called");
ABSL_FLAG(std::string,
          instances,
          "",
          "addresses of instances for lookups, a.b.c.d:port, separated by commas");
ABSL_FLAG(double, rate, 200, "total requests per second, open loop");
ABSL_FLAG(double, seconds, 10, "duration of the load in seconds");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random number generators");
ABSL_FLAG(std::string, service, "", "name of the only service to call; default: all");

namespace {

using namespace bulrushrun;

std::vector<load::RequestStream> makeStreams(const Document& aDocument,
                                             const std::string& aServiceFilter)
{
  std::vector<load::RequestStream> streams;
  for (const Tenant& tenant : aDocument.mTenants) {
    for (const Service& service : tenant.mServices) {
      if (!aServiceFilter.empty() && service.mName.text() != aServiceFilter) {
        continue;
      }
      for (const RequestClass& requestClass : service.mClasses) {
        for (const Region& region : aDocument.mRegions) {
          for (const ZoneName& zone : region.mZones) {
            streams.push_back({ { tenant.mName, service.mName }, requestClass, zone });
          }
        }
      }
    }
  }
  return streams;
}

std::vector<Endpoint> parseInstances(const std::string& aText)
{
  std::vector<Endpoint> instances;
  std::istringstream stream{ aText };
  for (std::string item; std::getline(stream, item, ',');) {
    if (const std::optional<Endpoint> endpoint = parseEndpoint(item)) {
      instances.push_back(*endpoint);
    }
  }
  return instances;
}

double quantileMillis(std::vector<Duration> aLatencies, double aQuantile)
{
  if (aLatencies.empty()) {
    return 0;
  }
  std::sort(aLatencies.begin(), aLatencies.end());
  const double position = aQuantile * static_cast<double>(aLatencies.size() - 1);
  return toSeconds(aLatencies[static_cast<std::size_t>(position)]) * 1000;
}

void printTable(const std::map<std::string, load::ClassCounters>& aCounters)
{
  std::printf("%-26s %7s %7s %7s %7s %7s %6s %7s %9s %9s %9s\n",
              "class",
              "sent",
              "answered",
              "not-run",
              "unknown",
              "failed",
              "short",
              "repeats",
              "p50 ms",
              "p99 ms",
              "p99.9 ms");
  for (const auto& [name, counters] : aCounters) {
    std::printf("%-26s %7lu %7lu %7lu %7lu %7lu %6lu %7lu %9.2f %9.2f %9.2f\n",
                name.c_str(),
                counters.mSent,
                counters.mAnswered,
                counters.mNotRun,
                counters.mUnknown,
                counters.mFailed,
                counters.mTruncated,
                counters.mRetried,
                quantileMillis(counters.mLatencies, 0.5),
                quantileMillis(counters.mLatencies, 0.99),
                quantileMillis(counters.mLatencies, 0.999));
  }
}

/// Open-loop arrivals: they do not wait for responses, and latency counts from the scheduled time.
class ArrivalSchedule
{
public:
  ArrivalSchedule(EventLoop& aLoop,
                  load::LoadGenerator& aGenerator,
                  std::vector<load::RequestStream> aStreams)
    : mLoop(aLoop)
    , mGenerator(aGenerator)
    , mStreams(std::move(aStreams))
    , mRandom(absl::GetFlag(FLAGS_seed))
    , mDue(EventLoop::now())
    , mEnd(mDue + fromSeconds(absl::GetFlag(FLAGS_seconds)))
  {
  }

  void next()
  {
    const TimePoint now = EventLoop::now();
    while (mDue <= now && mDue < mEnd) {
      mGenerator.send(mStreams[mRandom.below(mStreams.size())], mDue);
      mDue += fromSeconds(mRandom.exponential(1 / absl::GetFlag(FLAGS_rate)));
    }
    if (mDue < mEnd) {
      mLoop.after(mDue - now, [this] { next(); });
    } else {
      finish();
    }
  }

private:
  static constexpr Duration kMaxFinalWait = std::chrono::seconds(60);

  void finish()
  {
    const bool timedOut = EventLoop::now() > mEnd + kMaxFinalWait;
    if (mGenerator.pending() == 0 || timedOut) {
      mLoop.stop();
      return;
    }
    mLoop.after(std::chrono::milliseconds(20), [this] { finish(); });
  }

  EventLoop& mLoop;
  load::LoadGenerator& mGenerator;
  std::vector<load::RequestStream> mStreams;
  Random mRandom;
  TimePoint mDue;
  TimePoint mEnd;
};

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Generates the open-loop load of the callers of a deployment.");
  absl::ParseCommandLine(aCount, aArguments);
  const std::string path = absl::GetFlag(FLAGS_configuration);
  Findings findings;
  const std::optional<Document> document =
    readDocument(readFile(path).value_or(""), path, findings);
  const std::vector<Endpoint> instances = parseInstances(absl::GetFlag(FLAGS_instances));
  if (!document || instances.empty()) {
    std::cerr << findings.report() << "--configuration and --instances are required\n";
    return 2;
  }
  const std::vector<load::RequestStream> streams =
    makeStreams(*document, absl::GetFlag(FLAGS_service));
  if (streams.empty()) {
    std::cerr << "the configuration has no such service\n";
    return 2;
  }
  EventLoop loop;
  const SignalWatcher signals{ loop, { SIGTERM, SIGINT }, [&] { loop.stop(); } };
  load::LoadGenerator generator{ loop, instances, Random{ absl::GetFlag(FLAGS_seed) + 1 } };
  ArrivalSchedule arrivals{ loop, generator, streams };
  arrivals.next();
  loop.run();
  printTable(generator.countersByClass());
  std::printf("unfinished: %zu\n", generator.pending());
  return 0;
}
