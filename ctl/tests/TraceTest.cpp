#include "ctl/Trace.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace bulrushrun {
namespace {

/// Traces three requests, one refused, one late and one failed, in recorded logs of a run with
/// injected faults.
class TraceTest : public testing::Test
{
protected:
  static Trace trace(const std::string& aId)
  {
    std::vector<LogLine> lines;
    std::ifstream file{ std::string(SOURCE_DIR) + "/ctl/tests/walks.log" };
    for (std::string text; std::getline(file, text);) {
      const std::optional<LogLine> line = parseLogLine(text);
      EXPECT_TRUE(line) << text;
      lines.push_back(*line);
    }
    Trace trace{ aId };
    for (const LogLine& line : lines) {
      trace.addRequestLine(line);
    }
    for (const LogLine& line : lines) {
      trace.addContextLine(line);
    }
    return trace;
  }
  static bool contains(const Trace& aTrace, const std::string& aPart)
  {
    return aTrace.text().find(aPart) != std::string::npos;
  }
};

TEST_F(TraceTest, ExplainsARefusalBecauseIdleTargetsWereCold)
{
  const Trace refused = trace("2f7ccd23a7c363d1");
  ASSERT_TRUE(refused.isFound());
  EXPECT_TRUE(contains(refused, "edge-kar-depot-2 ended the request as 'refused' with status 503"));
  EXPECT_TRUE(contains(refused, "because it is cold"));
  EXPECT_TRUE(contains(refused, "BR-1002 instance-ready version=25"))
    << "the state on which the decision was based";
}

TEST_F(TraceTest, ExplainsALateResponseAfterAnUnresponsiveTarget)
{
  const Trace late = trace("3e30d9f307fe7fb8");
  EXPECT_TRUE(
    contains(late, "ended the request as 'answered' with status 200 after 1640 ms; 2 attempts"));
  EXPECT_TRUE(
    contains(late, "An attempt at i-0e911944a9 failed after 800 ms: the target is silent."));
}

TEST_F(TraceTest, ExplainsAnInterruptedRequestThatMustNotBeRetried)
{
  const Trace failed = trace("07b63fa76f4ad93d");
  EXPECT_TRUE(contains(failed, "with status 502"));
  EXPECT_TRUE(
    contains(failed,
             "A target may have executed the request, but no complete response was received: "
             "the connection broke before the answer ended."));
}

TEST_F(TraceTest, MarksTheLinesOfTheRequestAndOrdersThemByTime)
{
  const nlohmann::json late = nlohmann::json::parse(trace("3e30d9f307fe7fb8").json());
  std::string before;
  int own = 0;
  for (const nlohmann::json& line : late["lines"]) {
    EXPECT_GE(line["time"].get<std::string>(), before);
    before = line["time"].get<std::string>();
    own += line["of_request"].get<bool>() ? 1 : 0;
  }
  EXPECT_EQ(own, 2) << "one failed attempt and the end";
}

TEST_F(TraceTest, ReportsAnUnknownRequest)
{
  EXPECT_FALSE(trace("no-such-id").isFound());
}

/// Guards against a 401 whose cause the operator can't find.
TEST(KeyRefusalTraceTest, ExplainsARefusedKey)
{
  Trace early{ "id-1" };
  early.addRequestLine(
    *parseLogLine("2026-12-06 22:10:00.000 INFO  n1 BR-8002 request-refused id=id-1 route=orders "
                  "version=7 status=401 reason=\"the key is unknown\""));
  EXPECT_TRUE(early.text().starts_with(
    "n1 refused the request with status 401 before a target was chosen: the key is unknown.\n"
    "Version 7 of the configuration, which was in force at the instance, requires the key of a "
    "customer on route orders.\n"));
  Trace late{ "id-2" };
  late.addRequestLine(
    *parseLogLine("2026-12-06 22:10:00.000 INFO  n1 BR-8001 request-ended id=id-2 sends=0 "
                  "outcome=refused status=401 ms=9 reason=\"x; the key is unknown\""));
  EXPECT_NE(late.text().find("The key of the request was removed before a target was reached: x; "
                             "the key is unknown."),
            std::string::npos);
}

/// Guards against a late answer whose cause the operator can't find.
TEST(SilentTargetTraceTest, TellsWhereElseTheRequestWasSent)
{
  Trace trace{ "id-1" };
  const std::string prefix = "2026-12-07 14:00:00.000 INFO  n1 ";
  trace.addRequestLine(*parseLogLine(
    prefix +
    "BR-8008 target-silent id=id-1 target=t1 ms=800 next=- reason=\"all targets are busy\""));
  trace.addRequestLine(
    *parseLogLine(prefix + "BR-8008 target-silent id=id-1 target=t1 ms=1050 next=t2"));
  trace.addRequestLine(*parseLogLine(
    prefix + "BR-8001 request-ended id=id-1 sends=2 outcome=answered status=200 ms=1400"));
  const std::string text = trace.text();
  EXPECT_NE(text.find("t1 had not responded after 800 ms; the request stayed there, and no further "
                      "target got it: all targets are busy."),
            std::string::npos)
    << text;
  EXPECT_NE(text.find("t1 had not responded after 1050 ms; the request stayed there, and t2 got "
                      "it, too."),
            std::string::npos)
    << text;
}

/// Lines as log collectors deliver them, with a prefix of their own.
TEST(LogLineTest, ParsesQuotedFieldsAfterAPrefix)
{
  const std::optional<LogLine> line =
    parseLogLine("  12.5 host 2026-12-04 08:15:30.123 INFO  n1 BR-8003 send-failed id=a "
                 "reason=\"no answer: it broke\" ms=7");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->mInstance, "n1");
  EXPECT_EQ(line->mEvent, 8003);
  EXPECT_EQ(line->field("reason"), "no answer: it broke");
  EXPECT_EQ(line->number("ms"), 7);
}

TEST(LogLineTest, RejectsLinesWithoutAnEventOrATime)
{
  EXPECT_FALSE(parseLogLine("2026-12-04 08:15:30.123 INFO  n1 hello"));
  EXPECT_FALSE(parseLogLine("n1 BR-8003 send-failed id=a"));
  EXPECT_FALSE(parseLogLine(""));
}

} // namespace
} // namespace bulrushrun
