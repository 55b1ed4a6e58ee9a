#include "bulrushrun/steering/TargetPicker.h"

#include <benchmark/benchmark.h>

#include <map>
#include <optional>
#include <string>

/// \file
/// \brief Time of one choice of a target, by the number of targets of the service.

namespace bulrushrun {
namespace {

/// Terms of a request of the least urgent of three priorities.
AdmissionTerms leastUrgentTerms()
{
  constexpr Duration kExecution = std::chrono::milliseconds(200);
  return { { 2, 3 },
           { kExecution, 3 * kExecution, kExecution },
           std::chrono::milliseconds(400),
           std::chrono::milliseconds(2500) };
}

/// Picks by affinity key among targets of three slots in six zones of three regions, including the
/// listing of the usable targets, as for each attempt.
/// \param aTerms  for requests that compete by priority
/// \param aLoad  requests in progress at each target
void pick(benchmark::State& aState, const std::optional<AdmissionTerms>& aTerms, int aLoad)
{
  constexpr int kZones = 6;
  constexpr std::uint64_t kKeys = 1000;
  const TimePoint now{ std::chrono::seconds(100) };
  TargetTable table;
  std::map<ZoneName, RegionName> regions;
  for (int i = 0; i < kZones; ++i) {
    regions[ZoneName{ "z" + std::to_string(i) }] = RegionName{ "r" + std::to_string(i / 2) };
  }
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    TargetEntry entry;
    entry.mId = TargetId{ "t" + std::to_string(i) };
    entry.mService = ServiceName{ "s" };
    entry.mSlots = 3;
    entry.mZone = ZoneName{ "z" + std::to_string(i % kZones) };
    table.update(entry, now);
  }
  PickContext context;
  context.mZones = ZoneTopology{ ZoneName{ "z0" }, regions };
  TargetPicker picker;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    for (int request = 0; request < aLoad; ++request) {
      picker.stats(TargetId{ "t" + std::to_string(i) }).onAttemptStarted(now);
    }
  }
  std::uint64_t key = 0;
  for (auto iteration : aState) {
    PickQuery query;
    query.mAffinity = Affinity::Key;
    query.mAffinityKey = mixBits(key++ % kKeys);
    query.mTerms = aTerms;
    benchmark::DoNotOptimize(
      picker.pick(query, table.usable(ServiceName{ "s" }, now), context, now));
  }
}

void pickByKey(benchmark::State& aState)
{
  pick(aState, std::nullopt, 0);
}
BENCHMARK(pickByKey)->Arg(12)->Arg(132)->Arg(266)->Arg(717);

/// All targets are full: every candidate is considered.
void pickWhileBusy(benchmark::State& aState)
{
  pick(aState, std::nullopt, 9);
}
BENCHMARK(pickWhileBusy)->Arg(266);

void competeByKey(benchmark::State& aState)
{
  pick(aState, leastUrgentTerms(), 0);
}
BENCHMARK(competeByKey)->Arg(12)->Arg(132)->Arg(266)->Arg(717);

void competeWhileBusy(benchmark::State& aState)
{
  pick(aState, leastUrgentTerms(), 9);
}
BENCHMARK(competeWhileBusy)->Arg(266);

} // namespace
} // namespace bulrushrun
