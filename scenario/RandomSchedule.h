#pragma once

#include "scenario/Scenario.h"

namespace bulrushrun::scenario {

/// \brief Configuration of the small deployment that random schedules run on: three zones in two
/// regions, two services, requests with and without idempotency keys.
std::string smallDeployment();

/// \brief \returns a scenario with one to four random actions, which may overlap in time.
Scenario randomScenario(std::uint64_t aSeed);

} // namespace bulrushrun::scenario
