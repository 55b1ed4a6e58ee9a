#include "scenario/RandomSchedule.h"

#include <array>

namespace bulrushrun::scenario {

namespace {

constexpr std::array kZones{ "north-a", "north-b", "south-a" };
constexpr std::array kNodes{ "north-a-1", "north-a-2", "north-b-3",
                             "north-b-4", "south-a-5", "south-a-6" };
constexpr std::array kTargets{ "127.9.1.1:7000", "127.9.1.2:7000",  "127.9.2.1:7000",
                               "127.9.3.1:7000", "127.9.1.11:7000", "127.9.2.11:7000",
                               "127.9.3.11:7000" };
constexpr std::array kPlatformModes{ "outage", "silent", "loses-answers", "applies-late" };
constexpr std::array kTargetModes{ "dead", "silent", "crossed", "cut", "slow" };
constexpr std::array kLeaveSignals{ "page", "list" };
constexpr int kMaxFaults = 4;

template<std::size_t N>
std::string pick(Random& aRandom, const std::array<const char*, N>& aItems)
{
  return aItems[aRandom.below(N)];
}

TimedAction randomAction(Random& aRandom)
{
  constexpr std::array kKinds{ ActionKind::Crash,         ActionKind::Restart,
                               ActionKind::Restart,       ActionKind::Pause,
                               ActionKind::Pause,         ActionKind::Stop,
                               ActionKind::CutZone,       ActionKind::CutPlatform,
                               ActionKind::PlatformFault, ActionKind::PlatformFault,
                               ActionKind::PlatformFault, ActionKind::TargetFault,
                               ActionKind::TargetFault,   ActionKind::TargetLeaves,
                               ActionKind::MessageLoss,   ActionKind::ApplyConfiguration };
  TimedAction action;
  action.mKind = kKinds[aRandom.below(kKinds.size())];
  action.mAt = fromSeconds(4 * aRandom.unit());
  action.mFor = fromSeconds(0.2 + 6 * aRandom.unit());
  action.mShare = 0.5 * aRandom.unit();
  switch (action.mKind) {
    case ActionKind::CutZone:
    case ActionKind::CutPlatform:
      action.mSubject = pick(aRandom, kZones);
      break;
    case ActionKind::PlatformFault:
      action.mMode = pick(aRandom, kPlatformModes);
      break;
    case ActionKind::TargetFault:
      action.mSubject = pick(aRandom, kTargets);
      action.mMode = pick(aRandom, kTargetModes);
      break;
    case ActionKind::TargetLeaves:
      action.mSubject = pick(aRandom, kTargets);
      action.mMode = pick(aRandom, kLeaveSignals);
      break;
    case ActionKind::Crash:
    case ActionKind::Restart:
    case ActionKind::Pause:
    case ActionKind::Stop:
    case ActionKind::MessageLoss:
    case ActionKind::ApplyConfiguration:
      action.mSubject = pick(aRandom, kNodes);
      break;
  }
  return action;
}

} // namespace

std::string smallDeployment()
{
  return R"(defaults: {lookup_ttl_ms: 500, zone_delay_ms: 1}
regions:
  - {name: north, zones: [north-a, north-b]}
  - {name: south, zones: [south-a]}
links:
  default: {capacity_mbit: 1000, delay_ms: 10}
tenants:
  - name: t
    services:
      - name: orders
        slots: 2
        classes:
          - {name: order, repeatable: false, deadline_ms: 3000}
          - {name: read, repeatable: true, deadline_ms: 2000}
        targets:
          north-a: ["127.9.1.1:7000", "127.9.1.2:7000"]
          north-b: ["127.9.2.1:7000"]
          south-a: ["127.9.3.1:7000"]
      - name: bookings
        slots: 2
        classes:
          - {name: booking, repeatable: false, deadline_ms: 3000}
        targets:
          north-a: ["127.9.1.11:7000"]
          north-b: ["127.9.2.11:7000"]
          south-a: ["127.9.3.11:7000"]
exceptions: []
)";
}

Scenario randomScenario(std::uint64_t aSeed)
{
  Random random{ mixBits(aSeed) };
  Scenario scenario;
  scenario.mName = "random " + std::to_string(aSeed);
  scenario.mSeed = aSeed;
  scenario.mDuration = std::chrono::seconds(6);
  scenario.mSimulation.mInstances = { { ZoneName{ "north-a" }, 2 },
                                      { ZoneName{ "north-b" }, 2 },
                                      { ZoneName{ "south-a" }, 2 } };
  scenario.mSimulation.mPlatformZone = ZoneName{ "north-a" };
  scenario.mSimulation.mResponseTime = std::chrono::milliseconds(20);
  scenario.mLoad = { 60, 0.03, 0.1 };
  const int faults = 1 + static_cast<int>(random.below(kMaxFaults));
  for (int i = 0; i < faults; ++i) {
    scenario.mActions.push_back(randomAction(random));
  }
  return scenario;
}

} // namespace bulrushrun::scenario
