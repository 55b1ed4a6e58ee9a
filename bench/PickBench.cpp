#include "bulrushrun/steering/TargetPicker.h"

#include <benchmark/benchmark.h>

#include <map>
#include <string>

/// \file
/// \brief Time of one choice of a target, by the number of targets of the service.

namespace bulrushrun {
namespace {

/// Picks by affinity key among targets of three slots in six zones of three regions, including the
/// listing of the usable targets, as for each attempt.
void pickByKey(benchmark::State& aState)
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
  std::uint64_t key = 0;
  for (auto iteration : aState) {
    PickQuery query;
    query.mAffinity = Affinity::Key;
    query.mAffinityKey = mixBits(key++ % kKeys);
    benchmark::DoNotOptimize(
      picker.pick(query, table.usable(ServiceName{ "s" }, now), context, now));
  }
}
BENCHMARK(pickByKey)->Arg(12)->Arg(132)->Arg(717);

} // namespace
} // namespace bulrushrun
