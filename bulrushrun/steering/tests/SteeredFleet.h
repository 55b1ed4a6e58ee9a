#pragma once

#include "bulrushrun/steering/tests/SteeringWorld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace bulrushrun::testing_world {

/// Story: five instances in two zones follow one store through its troubles.
class AFleet : public ::testing::Test
{
protected:
  static constexpr Duration kBound = std::chrono::milliseconds(2500);

  AFleet()
  {
    mWorld.putPlan(1, "safe");
    mWorld.putTarget("t1");
    for (const std::string& name : mNames) {
      mWorld.add(name, name < "n4" ? "za" : "zb").start();
    }
    mWorld.run(std::chrono::seconds(5));
  }
  bool knows(const std::string& aNode, const std::string& aLine)
  {
    const std::vector<std::string>& log = mWorld.host(aNode).mLog;
    return std::any_of(
      log.begin(), log.end(), [&](const std::string& aEntry) { return aEntry.starts_with(aLine); });
  }

  const std::vector<std::string> mNames{ "n1", "n2", "n3", "n4", "n5" };
  World mWorld;
};

} // namespace bulrushrun::testing_world
