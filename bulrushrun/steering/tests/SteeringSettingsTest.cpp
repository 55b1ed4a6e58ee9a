#include "bulrushrun/steering/SteeringSettings.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

const std::string kValidSettings = R"(
instance: node-1
zone: zone-a
regions: { zone-a: region-1, zone-b: region-2 }
listen: 10.0.0.1:8001
lookup: 10.0.0.1:8002
readiness: 10.0.0.1:8003
metrics: 10.0.0.1:8004
news: 10.0.0.1:8006
peer: 10.0.0.1:8005
store: 10.0.0.9:8642
seeds: [ "10.0.0.2:8005" ]
peer_keys: [ "a key of some length" ]
bounds: { grace_s: 6, retry_window_s: 10.5, retry_ratio: 0.2, drain_ms: 2500 }
)";

/// Settings as the platform's template renders them.
TEST(SteeringSettingsTest, BoundsAreReadInTheirUnits)
{
  Findings findings;
  const std::optional<SteeringSettings> settings =
    readSteeringSettings(kValidSettings, "s.yaml", findings);
  ASSERT_TRUE(settings) << findings.report();
  EXPECT_EQ(settings->mBounds.mGrace, std::chrono::seconds(6));
  EXPECT_EQ(settings->mBounds.mRetryWindow, std::chrono::milliseconds(10500));
  EXPECT_EQ(settings->mBounds.mDrain, std::chrono::milliseconds(2500));
  EXPECT_EQ(settings->mRegions.at(ZoneName{ "zone-b" }), RegionName{ "region-2" });
}

TEST(SteeringSettingsTest, AllErrorsAreReportedWithTheirSourceLocation)
{
  Findings findings;
  const std::string invalid =
    "instance: node-1\nzone: zone-c\nregions: { zone-a: r }\nlisten: nowhere\n"
    "surprise: 1\nlog_level: loud\nseeds: [ here ]\n";
  EXPECT_FALSE(readSteeringSettings(invalid, "s.yaml", findings));
  const std::string report = findings.report();
  EXPECT_NE(report.find("zone-c"), std::string::npos) << report;
  EXPECT_NE(report.find("surprise"), std::string::npos) << report;
  EXPECT_NE(report.find("s.yaml:4"), std::string::npos) << report;
  EXPECT_NE(report.find("log_level is one of debug, info, warn, error"), std::string::npos)
    << report;
  EXPECT_NE(report.find("'here' is not an address"), std::string::npos) << report;
}

/// The cap on shifts between regions, as it may come from the platform.
class MaxShiftTest : public ::testing::Test
{
protected:
  /// \returns the settings with this text as the value of the bound.
  static std::optional<SteeringSettings> read(const std::string& aValue, Findings& aFindings)
  {
    std::string text = kValidSettings;
    text.replace(text.find("drain_ms: 2500"), 0, "max_shift: " + aValue + ", ");
    return readSteeringSettings(text, "s.yaml", aFindings);
  }
};

TEST_F(MaxShiftTest, AShareFromAboveZeroToOneIsInForce)
{
  for (const std::string value : { "0.15", "0.001", "1" }) {
    Findings findings;
    const std::optional<SteeringSettings> settings = read(value, findings);
    ASSERT_TRUE(settings) << findings.report();
    EXPECT_EQ(settings->mBounds.mMaxShift, std::stod(value));
  }
}

/// A platform that sets no cap renders an empty value; the default is in force.
TEST_F(MaxShiftTest, WithoutAValueTheDefaultIsInForce)
{
  Findings findings;
  const std::optional<SteeringSettings> empty = read("", findings);
  ASSERT_TRUE(empty) << findings.report();
  EXPECT_EQ(empty->mBounds.mMaxShift, 0.15);
  const std::optional<SteeringSettings> absent =
    readSteeringSettings(kValidSettings, "s.yaml", findings);
  ASSERT_TRUE(absent) << findings.report();
  EXPECT_EQ(absent->mBounds.mMaxShift, 0.15);
}

/// A cap that cannot be kept, or is none, is refused with its place, as other bounds are.
TEST_F(MaxShiftTest, AnythingElseIsAFinding)
{
  for (const std::string value : { "0", "-0.1", "1.01", "many", ".nan", ".inf", "[ 0.1 ]" }) {
    Findings findings;
    EXPECT_FALSE(read(value, findings)) << value;
    EXPECT_NE(findings.report().find("max_shift"), std::string::npos) << value;
    EXPECT_NE(findings.report().find("s.yaml:"), std::string::npos) << value;
  }
}

/// Guards against a deployment without quotas, whose platform renders empty values, that does not
/// start, and against bounds that are read into the wrong field.
TEST(SteeringSettingsTest, BoundsOfQuotasMayBeEmpty)
{
  const auto read = [](const std::string& aBounds) {
    Findings findings;
    std::string text = kValidSettings;
    text.replace(text.find("drain_ms: 2500"), 0, aBounds);
    const std::optional<SteeringSettings> settings = readSteeringSettings(text, "s", findings);
    EXPECT_TRUE(settings) << findings.report();
    return settings.value_or(SteeringSettings{}).mBounds.mQuota;
  };
  const QuotaBounds empty = read("quota_window_s: , quota_overage: , quota_slack: , ");
  EXPECT_EQ(empty.mWindow, std::chrono::seconds(5));
  EXPECT_EQ(empty.mOverage, 0.1);
  EXPECT_EQ(empty.mSlack, 20);
  const QuotaBounds given = read("quota_window_s: 4, quota_overage: 0.2, quota_slack: 7, ");
  EXPECT_EQ(given.mWindow, std::chrono::seconds(4));
  EXPECT_EQ(given.mOverage, 0.2);
  EXPECT_EQ(given.mSlack, 7);
}

} // namespace
} // namespace bulrushrun
