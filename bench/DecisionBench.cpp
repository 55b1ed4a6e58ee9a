#include "bulrushrun/claims/ClaimRecord.h"
#include "bulrushrun/configuration.h"
#include "bulrushrun/forwarding/RequestStateMachine.h"
#include "bulrushrun/lookup.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/routing.h"

#include <benchmark/benchmark.h>

#include <memory>

/// \file
/// \brief Benchmarks of the decision code at growing sizes; docs/CAPACITY.md is based on them.

namespace {

using namespace bulrushrun;

constexpr std::size_t kZonesPerRegion = 3;

/// Configuration of one tenant, with targets distributed evenly over the zones.
Document deployment(std::size_t aZones, std::size_t aServices, std::size_t aTargetsPerZone)
{
  Document document;
  for (std::size_t z = 0; z < aZones; ++z) {
    if (z % kZonesPerRegion == 0) {
      document.mRegions.push_back({ RegionName{ "r" + std::to_string(z / kZonesPerRegion) }, {} });
    }
    document.mRegions.back().mZones.emplace_back("z" + std::to_string(z));
  }
  Tenant tenant{ TenantName{ "t" }, {} };
  std::uint32_t address = 1;
  for (std::size_t s = 0; s < aServices; ++s) {
    Service service{ ServiceName{ "s" + std::to_string(s) }, { RequestClass{} }, {} };
    for (std::size_t i = 0; i < aZones * aTargetsPerZone; ++i) {
      const Endpoint endpoint{ address++, 80 };
      service.mTargets.push_back(
        { TargetId{ endpoint.text() }, endpoint, ZoneName{ "z" + std::to_string(i % aZones) }, 3 });
    }
    tenant.mServices.push_back(service);
  }
  document.mTenants = { tenant };
  return document;
}

std::vector<LiveInstance> fleet(std::size_t aInstances, std::size_t aZones)
{
  std::vector<LiveInstance> live;
  for (std::size_t i = 0; i < aInstances; ++i) {
    live.push_back({ InstanceId{ "instance-" + std::to_string(i) },
                     ZoneName{ "z" + std::to_string(i % aZones) },
                     Endpoint{ static_cast<std::uint32_t>(i + 1), 8080 } });
  }
  return live;
}

MemberTable table(std::size_t aInstances)
{
  MemberTable members;
  for (const LiveInstance& live : fleet(aInstances, 24)) {
    members.merge({ live.mId,
                    live.mZone,
                    live.mListen,
                    live.mListen,
                    Incarnation{ 1 },
                    MemberState::Alive,
                    ConfigurationVersion{ 1 } },
                  TimePoint{});
  }
  return members;
}

/// One lookup in the table, by number of services.
void lookup(benchmark::State& aState)
{
  const std::size_t services = static_cast<std::size_t>(aState.range(0));
  const FleetView view{ std::make_shared<const Document>(deployment(24, services, 2)),
                        ConfigurationVersion{ 1 },
                        fleet(240, 24) };
  const LookupTable lookupTable{ view };
  std::vector<std::string> paths;
  for (std::size_t s = 0; s < services; ++s) {
    paths.push_back("/v1/lookup/t/s" + std::to_string(s) + "/z7");
  }
  std::size_t i = 0;
  for ([[maybe_unused]] auto round : aState) {
    benchmark::DoNotOptimize(lookupTable.find(paths[i]));
    i = i + 1 == paths.size() ? 0 : i + 1;
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(lookup)->Arg(4)->Arg(16)->Arg(64)->Arg(250)->Complexity();

/// Computation of the ownership of targets after a membership change, by number of instances; 24
/// zones, 250 targets.
void ownership(benchmark::State& aState)
{
  const Document document = deployment(24, 5, 2);
  const std::vector<LiveInstance> live = fleet(static_cast<std::size_t>(aState.range(0)), 24);
  for ([[maybe_unused]] auto round : aState) {
    benchmark::DoNotOptimize(Ownership{ document, live });
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(ownership)->Arg(24)->Arg(175)->Arg(350)->Arg(700)->Arg(1400)->Complexity();

/// Rebuild of the fleet view and the lookup table, by number of instances.
void viewAndLookupTable(benchmark::State& aState)
{
  const std::shared_ptr<const Document> document =
    std::make_shared<const Document>(deployment(24, 5, 2));
  const std::vector<LiveInstance> live = fleet(static_cast<std::size_t>(aState.range(0)), 24);
  for ([[maybe_unused]] auto round : aState) {
    const FleetView view{ document, ConfigurationVersion{ 1 }, live };
    benchmark::DoNotOptimize(LookupTable{ view });
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(viewAndLookupTable)->Arg(24)->Arg(175)->Arg(350)->Arg(700)->Arg(1400)->Complexity();

/// One admission, dispatch and release, by number of targets in the pool.
void poolRound(benchmark::State& aState)
{
  ServicePool pool{ 0.34 };
  std::vector<TargetSpec> targets;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    targets.push_back({ TargetId{ "t" + std::to_string(i) }, {}, ZoneName{ "z" }, 3 });
  }
  const TimePoint now{ std::chrono::seconds(10) };
  pool.setTargets(targets, false, now);
  for (const TargetSpec& target : targets) {
    pool.onHealthChecked(target.mId);
  }
  std::uint64_t id = 0;
  for ([[maybe_unused]] auto round : aState) {
    const QueuedRequest entry{
      RequestId{ ++id }, ClassName{ "c" }, 0, now + std::chrono::seconds(1), 1.0, {}
    };
    benchmark::DoNotOptimize(pool.canServe(entry, now));
    pool.enqueue(entry);
    const std::optional<Dispatch> dispatch = pool.next(now);
    pool.release(dispatch->mTarget.mId,
                 entry.mClass,
                 SlotRelease::Answered,
                 std::chrono::milliseconds(5),
                 now);
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(poolRound)->Arg(3)->Arg(12)->Arg(48)->Arg(192)->Complexity();

/// All state transitions of one request.
void requestMachine(benchmark::State& aState)
{
  for ([[maybe_unused]] auto round : aState) {
    RequestStateMachine machine{ RetryPolicy::AtMostOnceClaimed };
    for (const RequestEvent event : { RequestEvent::Admitted,
                                      RequestEvent::ClaimAcquired,
                                      RequestEvent::Dispatched,
                                      RequestEvent::ResponseHeadReceived,
                                      RequestEvent::ResponseComplete }) {
      benchmark::DoNotOptimize(machine.apply(event));
    }
  }
}
BENCHMARK(requestMachine);

/// Encoding and decoding of a claim record, by bytes of its response.
void claimCodec(benchmark::State& aState)
{
  const ClaimRecord record{ ClaimState::Completed,
                            ClaimToken{ "0123456789abcdef0123456789abcdef" },
                            std::string(64, 'f'),
                            InstanceId{ "almaty-a-1" },
                            StoredOutcome{
                              200,
                              { { "Content-Type", "application/json" } },
                              std::string(static_cast<std::size_t>(aState.range(0)), 'x'),
                              "",
                              true } };
  for ([[maybe_unused]] auto round : aState) {
    benchmark::DoNotOptimize(decodeClaimRecord(encodeClaimRecord(record)));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(claimCodec)->Arg(128)->Arg(1024)->Arg(8192)->Arg(32768)->Complexity();

/// Merge of one membership update, by number of members.
void memberMerge(benchmark::State& aState)
{
  MemberTable members = table(static_cast<std::size_t>(aState.range(0)));
  const Member update = members.all()[members.size() / 2];
  for ([[maybe_unused]] auto round : aState) {
    benchmark::DoNotOptimize(members.merge(update, TimePoint{}));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(memberMerge)->Arg(24)->Arg(175)->Arg(350)->Arg(700)->Arg(1400)->Complexity();

/// Digest that every gossip message carries, by number of members.
void memberDigest(benchmark::State& aState)
{
  const MemberTable members = table(static_cast<std::size_t>(aState.range(0)));
  for ([[maybe_unused]] auto round : aState) {
    benchmark::DoNotOptimize(members.digest());
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(memberDigest)->Arg(24)->Arg(175)->Arg(350)->Arg(700)->Arg(1400)->Complexity();

/// Selection of the relays of a zone, by number of members.
void zoneRelays(benchmark::State& aState)
{
  const MemberTable members = table(static_cast<std::size_t>(aState.range(0)));
  for ([[maybe_unused]] auto round : aState) {
    benchmark::DoNotOptimize(relaysOf(members, ZoneName{ "z3" }));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(zoneRelays)->Arg(24)->Arg(175)->Arg(350)->Arg(700)->Arg(1400)->Complexity();

/// One gossip message encoded, signed, verified and decoded, by number of updates in it.
void gossipMessage(benchmark::State& aState)
{
  GossipMessage message;
  const std::vector<Member> members = table(64).all();
  message.mSender = members.front();
  message.mUpdates.assign(members.begin(), members.begin() + aState.range(0));
  MessageAuthenticator sender{ { "benchmark-key-0123456789" }, InstanceId{ "a" }, 1 };
  MessageAuthenticator receiver{ { "benchmark-key-0123456789" }, InstanceId{ "b" }, 1 };
  std::size_t bytes = 0;
  for ([[maybe_unused]] auto round : aState) {
    const std::string sealed = sender.sign(encodeGossip(message));
    bytes = sealed.size();
    benchmark::DoNotOptimize(decodeGossip(*receiver.verify(sealed)));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(gossipMessage)->Arg(1)->Arg(2)->Arg(8)->Arg(32)->Complexity();

/// Parsing and validation of a configuration, by number of targets.
void readConfiguration(benchmark::State& aState)
{
  std::string text =
    "regions: [{name: r, zones: [z]}]\ntenants:\n  - name: t\n    services:\n"
    "      - name: s\n        classes: [{name: c}]\n        targets:\n          z: [";
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    text += (i == 0 ? "" : ", ") + std::string("\"") +
            Endpoint{ static_cast<std::uint32_t>(i + 1), 80 }.text() + "\"";
  }
  text += "]\n";
  for ([[maybe_unused]] auto round : aState) {
    Findings findings;
    benchmark::DoNotOptimize(readDocument(text, "b", findings));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(readConfiguration)->Arg(50)->Arg(250)->Arg(1000)->Arg(4000)->Complexity();

} // namespace

BENCHMARK_MAIN();
