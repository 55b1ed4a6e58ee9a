#include "bulrushrun/configuration.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

std::string example(const std::string& aName)
{
  return readFile(std::string(SOURCE_DIR) + "/examples/" + aName).value();
}

std::string reportOf(const std::string& aText)
{
  Findings findings;
  const std::optional<Document> document = readDocument(aText, "c.yaml", findings);
  EXPECT_EQ(document.has_value(), findings.empty());
  return findings.report();
}

/// A configuration with any error must be rejected as a whole, with a finding for each error.
TEST(ReadingAConfiguration, AcceptsBothExampleDeployments)
{
  for (const char* name : { "symtal.yaml", "association.yaml" }) {
    EXPECT_EQ(reportOf(example(name)), "") << name;
  }
}

TEST(ReadingAConfiguration, ReadsTargetsSlotsAndDelays)
{
  Findings findings;
  const std::optional<Document> document =
    readDocument(example("association.yaml"), "a.yaml", findings);
  const Service* catalogue =
    document->service({ TenantName{ "association" }, ServiceName{ "catalogue" } });
  ASSERT_NE(catalogue, nullptr);
  EXPECT_EQ(catalogue->mTargets.size(), 16U);
  EXPECT_EQ(catalogue->mTargets.front().mSlots, 7);
  EXPECT_EQ(document->delayBetween(ZoneName{ "kurzeme-a" }, ZoneName{ "latgale-b" }),
            std::chrono::milliseconds(35));
  EXPECT_EQ(document->delayBetween(ZoneName{ "kurzeme-a" }, ZoneName{ "kurzeme-b" }),
            std::chrono::microseconds(500));
}

TEST(ReadingAConfiguration, CollectsAllFindingsWithTheirLocations)
{
  const std::string report = reportOf(R"(regions:
  - {name: r, zones: [z]}
defaults: {retry_budget: 7}
tenants:
  - name: t
    services:
      - name: s
        slots: 0
        classes: [{name: c, repeatable: maybe}]
        targets: {z: ["10.0.0.1"], y: ["10.0.0.1:80"]}
colour: red
)");
  EXPECT_NE(report.find("c.yaml:3:26: 'retry_budget' must be a number from 0 to 1"),
            std::string::npos)
    << report;
  EXPECT_NE(report.find("c.yaml:8:16: 'slots'"), std::string::npos) << report;
  EXPECT_NE(report.find("c.yaml:9:41: 'repeatable' must be true or false"), std::string::npos)
    << report;
  EXPECT_NE(report.find("'10.0.0.1' is not an address"), std::string::npos) << report;
  EXPECT_NE(report.find("unknown zone 'y'"), std::string::npos) << report;
  EXPECT_NE(report.find("c.yaml:11:1: unknown key 'colour'"), std::string::npos) << report;
}

TEST(ReadingAConfiguration, RejectsAnExceptionWithoutReasonOrMatch)
{
  const std::string report = reportOf(example("symtal.yaml") + R"(
)");
  EXPECT_EQ(report, "");
  std::string text = example("symtal.yaml");
  text.replace(text.find("exceptions: []"), 14, R"(exceptions:
  - {target: "1.2.3.4:5", state: leaving, author: me}
  - {zone: nowhere, state: leaving, author: me, reason: because, expires: tomorrow})");
  const std::string findings = reportOf(text);
  EXPECT_NE(findings.find("key 'reason' is missing"), std::string::npos) << findings;
  EXPECT_NE(findings.find("matches no target: '1.2.3.4:5'"), std::string::npos) << findings;
  EXPECT_NE(findings.find("matches no zone: 'nowhere'"), std::string::npos) << findings;
  EXPECT_NE(findings.find("a timestamp must have the form"), std::string::npos) << findings;
}

TEST(ReadingAConfiguration, RejectsARetentionThatALateDuplicateOutlives)
{
  EXPECT_NE(reportOf("defaults: {claim_retention_s: 100, repeat_window_s: 90}\n"
                     "regions: [{name: r, zones: [z]}]\n")
              .find("claim_retention_s must be at least twice"),
            std::string::npos);
}

/// An exception rule must apply until it expires, and not after.
TEST(AnExceptionRule, MarksItsTargetAsLeavingUntilItExpires)
{
  Document document;
  ExceptionRule rule;
  rule.mTarget = TargetId{ "a" };
  rule.mLeaving = true;
  rule.mExpires = UnixSeconds{ 100 };
  document.mExceptions = { rule };
  const TargetSpec target{ TargetId{ "a" }, {}, ZoneName{ "z" }, 1 };
  EXPECT_TRUE(document.isLeaving(target, UnixSeconds{ 99 }));
  EXPECT_FALSE(document.isLeaving(target, UnixSeconds{ 100 }));
}

/// Invalid settings must be rejected with a finding for each missing or weak entry.
TEST(ReadingSettings, ReportsEveryMissingOrWeakEntry)
{
  Findings findings;
  EXPECT_FALSE(readSettings("instance: i\nzone: z\nlisten: here\npeer_keys: [short]\n"
                            "viewer_token: same-token-for-all\n"
                            "operator_token: same-token-for-all\nlog_level: loud\n",
                            "s.yaml",
                            findings));
  const std::string report = findings.report();
  for (const char* part : { "'here' is not an address",
                            "key 'admin' is missing",
                            "key 'platform' is missing",
                            "at least 16 characters",
                            "must differ from the viewer token",
                            "log_level is one of" }) {
    EXPECT_NE(report.find(part), std::string::npos) << part << "\n" << report;
  }
}

/// Malformed input must only yield findings: no crash, and no document next to findings.
TEST(ReadingAConfiguration, SurvivesTwoThousandMutatedTexts)
{
  const std::string original = example("symtal.yaml");
  Random random{ 42 };
  for (int round = 0; round < 2000; ++round) {
    std::string text = original.substr(0, 600 + random.below(1500));
    for (std::uint64_t i = 0; i < 1 + random.below(6); ++i) {
      text[random.below(text.size())] = static_cast<char>(random.below(256));
    }
    Findings findings;
    const std::optional<Document> document = readDocument(text, "m.yaml", findings);
    ASSERT_EQ(document.has_value(), findings.empty());
  }
}

} // namespace
} // namespace bulrushrun
