#include "load/LoadGenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, configuration, "", "configuration whose services are called");
ABSL_FLAG(std::string, instances, "", "instances to ask, a.b.c.d:port with commas between");
ABSL_FLAG(double, rate, 200, "requests per second in all, open loop");
ABSL_FLAG(double, seconds, 10, "how long to send");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and choices");
ABSL_FLAG(std::string, service, "", "only this service; all where it is not given");

namespace {

using namespace bulrushrun;

std::vector<load::RequestStream> streamsOf(const Document& aDocument, const std::string& aOnly)
{
  std::vector<load::RequestStream> streams;
  for (const Tenant& tenant : aDocument.mTenants) {
    for (const Service& service : tenant.mServices) {
      if (!aOnly.empty() && service.mName.text() != aOnly) {
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

std::vector<Endpoint> instancesOf(const std::string& aText)
{
  std::vector<Endpoint> instances;
  std::istringstream stream{ aText };
  for (std::string part; std::getline(stream, part, ',');) {
    if (const std::optional<Endpoint> endpoint = parseEndpoint(part)) {
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
  const double at = aQuantile * static_cast<double>(aLatencies.size() - 1);
  return toSeconds(aLatencies[static_cast<std::size_t>(at)]) * 1000;
}

void printTable(const std::map<std::string, load::ClassCounters>& aTallies)
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
  for (const auto& [name, counters] : aTallies) {
    std::printf("%-26s %7lu %7lu %7lu %7lu %7lu %6lu %7lu %9.2f %9.2f %9.2f\n",
                name.c_str(),
                counters.mSent,
                counters.mAnswered,
                counters.mNotRun,
                counters.mUnknown,
                counters.mFailed,
                counters.mTruncated,
                counters.mRepeated,
                quantileMillis(counters.mLatencies, 0.5),
                quantileMillis(counters.mLatencies, 0.99),
                quantileMillis(counters.mLatencies, 0.999));
  }
}

/// Open loop: arrivals do not wait for answers, and latency counts from the scheduled arrival.
class Arrivals
{
public:
  Arrivals(EventLoop& aLoop,
           load::LoadGenerator& aCallers,
           std::vector<load::RequestStream> aStreams)
    : mLoop(aLoop)
    , mCallers(aCallers)
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
      mCallers.send(mStreams[mRandom.below(mStreams.size())], mDue);
      mDue += fromSeconds(mRandom.exponential(1 / absl::GetFlag(FLAGS_rate)));
    }
    if (mDue < mEnd) {
      mLoop.after(mDue - now, [this] { next(); });
    } else {
      finish();
    }
  }

private:
  static constexpr Duration kLastWait = std::chrono::seconds(60);

  void finish()
  {
    const bool late = EventLoop::now() > mEnd + kLastWait;
    if (mCallers.pending() == 0 || late) {
      mLoop.stop();
      return;
    }
    mLoop.after(std::chrono::milliseconds(20), [this] { finish(); });
  }

  EventLoop& mLoop;
  load::LoadGenerator& mCallers;
  std::vector<load::RequestStream> mStreams;
  Random mRandom;
  TimePoint mDue;
  TimePoint mEnd;
};

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("callers of a deployment, as an open-loop load");
  absl::ParseCommandLine(aCount, aArguments);
  const std::string path = absl::GetFlag(FLAGS_configuration);
  Findings findings;
  const std::optional<Document> document =
    readDocument(readFile(path).value_or(""), path, findings);
  const std::vector<Endpoint> instances = instancesOf(absl::GetFlag(FLAGS_instances));
  if (!document || instances.empty()) {
    std::cerr << findings.report() << "--configuration and --instances are needed\n";
    return 2;
  }
  const std::vector<load::RequestStream> streams =
    streamsOf(*document, absl::GetFlag(FLAGS_service));
  if (streams.empty()) {
    std::cerr << "no such service\n";
    return 2;
  }
  EventLoop loop;
  const SignalWatcher signals{ loop, { SIGTERM, SIGINT }, [&] { loop.stop(); } };
  load::LoadGenerator callers{ loop, instances, Random{ absl::GetFlag(FLAGS_seed) + 1 } };
  Arrivals arrivals{ loop, callers, streams };
  arrivals.next();
  loop.run();
  printTable(callers.countersByClass());
  std::printf("without an end: %zu\n", callers.pending());
  return 0;
}
