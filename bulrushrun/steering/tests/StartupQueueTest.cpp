#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

namespace bulrushrun::steering_test {
namespace {

/// Guards against bodies that are kept for callers that have left before the instance was ready.
TEST(StartupQueueTest, DropsTheRequestsOfCallersThatLeave)
{
  FleetSimulation simulation;
  simulation.add("n1", "za");
  std::vector<std::string> accepted;
  StartupQueue<SimulatedHost> queue{ simulation.host("n1"),
                                     [&](const HttpRequest& aRequest,
                                         const std::shared_ptr<RecordingResponder>&,
                                         TimePoint) { accepted.push_back(aRequest.mPath); } };
  std::vector<std::shared_ptr<RecordingResponder>> callers;
  for (const char* path : { "/a", "/b", "/c" }) {
    callers.push_back(std::make_shared<RecordingResponder>());
    queue.hold({ "POST", path, {}, std::string(1000, 'x') }, callers.back());
  }
  std::exchange(callers[1]->mOnDisconnect, nullptr)();
  EXPECT_EQ(queue.size(), 2U);
  queue.release();
  EXPECT_EQ(accepted, (std::vector<std::string>{ "/a", "/c" }));
}

} // namespace
} // namespace bulrushrun::steering_test
