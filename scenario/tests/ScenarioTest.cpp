#include "scenario/RandomSchedule.h"
#include "scenario/ScenarioRun.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

namespace bulrushrun::scenario {
namespace {

std::string pathOf(const std::string& aName)
{
  return std::string(SOURCE_DIR) + "/" + aName;
}

std::vector<std::string> scenarioFiles()
{
  std::vector<std::string> files;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(pathOf("scenarios"))) {
    files.push_back(entry.path().stem());
  }
  std::sort(files.begin(), files.end());
  return files;
}

RunReport runFile(const std::string& aName)
{
  Findings findings;
  const std::string file = "scenarios/" + aName + ".yaml";
  const std::optional<Scenario> scenario =
    readScenario(readFile(pathOf(file)).value(), file, findings);
  EXPECT_TRUE(scenario) << findings.report();
  const std::string text = readFile(pathOf(scenario->mDeployment)).value();
  const std::optional<Document> document = readDocument(text, scenario->mDeployment, findings);
  EXPECT_TRUE(document) << findings.report();
  return ScenarioRun{ *scenario, text, *document }.run();
}

/// Each file in scenarios/ tests one guarantee, mostly under injected faults.
class EveryScenario : public testing::TestWithParam<std::string>
{};

TEST_P(EveryScenario, UpholdsTheGuarantees)
{
  const RunReport report = runFile(GetParam());
  EXPECT_TRUE(report.passed()) << describe(GetParam(), report);
}

INSTANTIATE_TEST_SUITE_P(Of,
                         EveryScenario,
                         testing::ValuesIn(scenarioFiles()),
                         [](const testing::TestParamInfo<std::string>& aInfo) {
                           std::string name = aInfo.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(AScenario, YieldsTheSameReportForTheSameSeed)
{
  const std::string text = smallDeployment();
  Findings findings;
  const std::optional<Document> document = readDocument(text, "small", findings);
  const Scenario scenario = randomScenario(1234);
  const std::string first = describe("run", ScenarioRun{ scenario, text, *document }.run());
  EXPECT_EQ(first, describe("run", ScenarioRun{ scenario, text, *document }.run()));
}

/// Guards against violations that arise only when several faults overlap in time.
class RandomSchedules : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(RandomSchedules, UpholdTheGuarantees)
{
  constexpr std::uint64_t kSchedulesPerTest = 50;
  const std::string text = smallDeployment();
  Findings findings;
  const std::optional<Document> document = readDocument(text, "small", findings);
  for (std::uint64_t seed = GetParam(); seed < GetParam() + kSchedulesPerTest; ++seed) {
    const Scenario scenario = randomScenario(seed);
    const RunReport report = ScenarioRun{ scenario, text, *document }.run();
    EXPECT_TRUE(report.passed()) << describe(scenario.mName, report);
  }
}

INSTANTIATE_TEST_SUITE_P(FromSeed,
                         RandomSchedules,
                         testing::Values(0, 1000, 1300, 1650, 1800, 2050, 2400, 2480, 2640, 3620));

} // namespace
} // namespace bulrushrun::scenario
