#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun::steering_test {
namespace {

/// \returns a registration that is like a good one but for one field, given as JSON.
std::string entryWith(const std::string& aField, const std::string& aJson)
{
  const auto field = [&](const std::string& aName, const std::string& aGood) {
    return "\"" + aName + "\":" + (aName == aField ? aJson : aGood);
  };
  return "{" + field("address", "\"10.128.0.9:9000\"") + "," + field("born", "7") + ",\"info\":{" +
         field("service", "\"s\"") + "," + field("version", "\"v1\"") + "," +
         field("zone", "\"za\"") + "," + field("slots", "4") + "},\"status\":{" +
         field("state", "\"ready\"") + "," + field("sequence", "1") + "," +
         field("coldRemainingMs", "0") + "}," + field("further", "0") + "}";
}

std::string nested(const std::string& aOpen, const std::string& aClose)
{
  std::string text;
  std::string closing;
  for (int i = 0; i < 20'000; ++i) {
    text += aOpen;
    closing += aClose;
  }
  return text + "1" + closing;
}

std::vector<std::string> oddValues()
{
  std::vector<std::string> values{ "",
                                   "null",
                                   "[]",
                                   "\"text\"",
                                   "{",
                                   std::string("\xff\xfe\0\x01", 4),
                                   std::string(60'000, '['),
                                   nested("[", "]"),
                                   nested(R"({"a":)", "}") };
  const std::vector<std::string> odd{ nested("[", "]"),
                                      nested(R"({"a":)", "}"),
                                      "1e400",
                                      "-1e400",
                                      "1e300",
                                      "-1",
                                      "1.5",
                                      "4294967300",
                                      "2147483648",
                                      "99999999999999999999999",
                                      "18446744073709551615",
                                      "null",
                                      "true",
                                      "[]",
                                      "{}",
                                      "\"\"",
                                      "\"ready\\u0000\"",
                                      "\"\\n\"",
                                      "\"10.128.0.9:99999\"",
                                      "\"10.128.0.9:-1\"",
                                      "\"10.128.0.9:0\"",
                                      "\"10.128.0.9:4294976296\"",
                                      "\"10.128.0.999:80\"",
                                      "\":\"",
                                      "\"9000\"" };
  for (const char* name : { "address",
                            "born",
                            "service",
                            "version",
                            "zone",
                            "slots",
                            "state",
                            "sequence",
                            "coldRemainingMs",
                            "further" }) {
    for (const std::string& json : odd) {
      values.push_back(entryWith(name, json));
    }
  }
  return values;
}

/// Three instances and one good target.
class OddEntryTest : public ::testing::Test
{
protected:
  OddEntryTest()
  {
    mSimulation.putPlan(1, "safe");
    mSimulation.putTarget("good", "ready", 1000);
  }
  void startInstances()
  {
    for (const char* name : { "n1", "n2", "n3" }) {
      mSimulation.add(name, name == std::string{ "n3" } ? "zb" : "za").start();
    }
    mSimulation.run(std::chrono::seconds(5));
  }
  void expectFollowed(const std::string& aTarget)
  {
    for (const char* name : { "n1", "n2", "n3" }) {
      const std::vector<std::string>& log = mSimulation.host(name).mLog;
      EXPECT_TRUE(std::any_of(log.begin(),
                              log.end(),
                              [&](const std::string& aLine) {
                                return aLine.starts_with("target-added target=" + aTarget + " ");
                              }))
        << name;
    }
  }
  FleetSimulation mSimulation;
};

/// Guards against an instance that ends, or stops following the targets, at a registration that
/// another writer left: deeply nested, with a number too large, with a port out of range.
TEST_F(OddEntryTest, InstancesGoOnFollowingTheOtherTargets)
{
  startInstances();
  int number = 0;
  for (const std::string& value : oddValues()) {
    mSimulation.mStore.put("servers", "odd-" + std::to_string(++number), value);
    if (number % 25 == 0) {
      mSimulation.run(std::chrono::milliseconds(500));
    }
  }
  mSimulation.run(std::chrono::seconds(3));
  mSimulation.putTarget("later", "ready", 1000);
  mSimulation.run(std::chrono::seconds(3));
  expectFollowed("good");
  expectFollowed("later");
}

/// Guards against an instance that does not start beside such registrations, nor serves.
TEST_F(OddEntryTest, InstancesStartBesideThemAndServe)
{
  int number = 0;
  for (const std::string& value : oddValues()) {
    mSimulation.mStore.put("servers", "odd-" + std::to_string(++number), value);
  }
  startInstances();
  expectFollowed("good");
  for (int i = 0; i < 50; ++i) {
    const std::shared_ptr<RecordingResponder> caller = mSimulation.sendRequest(
      "n" + std::to_string(1 + i % 3), std::to_string(i), "object-" + std::to_string(i));
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      mSimulation.respondOk(exchange);
    }
    EXPECT_EQ(caller->mHead.mStatus, 200) << i;
  }
}

} // namespace
} // namespace bulrushrun::steering_test
