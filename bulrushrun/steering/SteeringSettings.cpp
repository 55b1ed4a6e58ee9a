#include "bulrushrun/steering/SteeringSettings.h"

#include "bulrushrun/configuration/YamlMap.h"

#include <algorithm>

namespace bulrushrun {

namespace {

constexpr double kMaxRatio = 10;
constexpr double kMaxCount = 1e6;
constexpr double kMinSeconds = 0.1;
/// With no shift at all, requests would never leave a region in which their targets remain.
constexpr double kMinShift = 0.001;
constexpr double kMaxSeconds = 3600;
constexpr int kMaxMegabytes = 1 << 20;
constexpr double kMaxProcessorShare = 1024;

FleetBounds readBounds(const YamlMap& aMap)
{
  aMap.allowOnly({ "drain_ms",
                   "configuration_apply_ms",
                   "grace_s",
                   "retry_ratio",
                   "retry_window_s",
                   "retry_slack",
                   "cold_factor",
                   "cold_slack",
                   "max_shift",
                   "quota_window_s",
                   "quota_overage",
                   "quota_slack" });
  FleetBounds bounds;
  bounds.mDrain = aMap.millis("drain_ms", bounds.mDrain);
  bounds.mConfigurationApply = aMap.millis("configuration_apply_ms", bounds.mConfigurationApply);
  bounds.mGrace =
    fromSeconds(aMap.number("grace_s", toSeconds(bounds.mGrace), kMinSeconds, kMaxSeconds));
  bounds.mRetryRatio = aMap.number("retry_ratio", bounds.mRetryRatio, 0, kMaxRatio);
  bounds.mRetryWindow = fromSeconds(
    aMap.number("retry_window_s", toSeconds(bounds.mRetryWindow), kMinSeconds, kMaxSeconds));
  bounds.mRetrySlack = aMap.number("retry_slack", bounds.mRetrySlack, 0, kMaxCount);
  bounds.mColdFactor = aMap.number("cold_factor", bounds.mColdFactor, 0, kMaxCount);
  bounds.mColdSlack = aMap.number("cold_slack", bounds.mColdSlack, 0, kMaxCount);
  // Empty values stand for bounds that the platform does not set.
  if (!aMap.isNull("max_shift")) {
    bounds.mMaxShift = aMap.number("max_shift", bounds.mMaxShift, kMinShift, 1);
  }
  if (!aMap.isNull("quota_window_s")) {
    bounds.mQuota.mWindow = fromSeconds(
      aMap.number("quota_window_s", toSeconds(bounds.mQuota.mWindow), kMinSeconds, kMaxSeconds));
  }
  if (!aMap.isNull("quota_overage")) {
    bounds.mQuota.mOverage = aMap.number("quota_overage", bounds.mQuota.mOverage, 0, kMaxRatio);
  }
  if (!aMap.isNull("quota_slack")) {
    bounds.mQuota.mSlack = aMap.number("quota_slack", bounds.mQuota.mSlack, 0, kMaxCount);
  }
  return bounds;
}

void readRegions(const YamlMap& aMap, SteeringSettings& aSettings)
{
  const std::optional<YamlMap> regions = aMap.map("regions");
  if (!regions) {
    aMap.report("regions", "the region of each zone is required");
    return;
  }
  for (const std::string& zone : regions->keys()) {
    aSettings.mRegions[ZoneName{ zone }] = RegionName{ regions->text(zone.c_str()) };
  }
  if (!aSettings.mRegions.contains(aSettings.mZone)) {
    aMap.report("zone", "zone '" + aSettings.mZone.text() + "' has no region");
  }
}

} // namespace

std::optional<SteeringSettings> readSteeringSettings(const std::string& aText,
                                                     const std::string& aFile,
                                                     Findings& aFindings)
{
  const std::optional<YamlMap> map = parseYamlMap(aText, aFile, aFindings);
  if (!map) {
    return std::nullopt;
  }
  map->allowOnly({ "instance",
                   "zone",
                   "regions",
                   "listen",
                   "lookup",
                   "readiness",
                   "metrics",
                   "news",
                   "peer",
                   "store",
                   "seeds",
                   "peer_keys",
                   "bounds",
                   "memory_mb",
                   "processor_share",
                   "log_level" });
  SteeringSettings settings;
  settings.mInstance = InstanceId{ map->text("instance") };
  settings.mZone = ZoneName{ map->text("zone") };
  readRegions(*map, settings);
  settings.mListen = map->endpoint("listen");
  settings.mLookup = map->endpoint("lookup");
  settings.mReadiness = map->endpoint("readiness");
  settings.mMetrics = map->endpoint("metrics");
  settings.mPeerReplication = map->endpoint("news");
  settings.mPeer = map->endpoint("peer");
  settings.mStore = map->endpoint("store");
  settings.mSeeds = map->endpoints("seeds");
  settings.mPeerKeys = map->texts("peer_keys");
  if (settings.mPeerKeys.empty()) {
    map->report("peer_keys", "at least one peer key is required");
  }
  if (const std::optional<YamlMap> bounds = map->map("bounds")) {
    settings.mBounds = readBounds(*bounds);
  }
  settings.mMemoryMegabytes =
    static_cast<std::size_t>(map->integer("memory_mb", 256, 16, kMaxMegabytes));
  settings.mProcessorShare = map->number("processor_share", 0, 0, kMaxProcessorShare);
  settings.mLogLevel =
    map->oneOf("log_level", settings.mLogLevel, { "debug", "info", "warn", "error" });
  if (!aFindings.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace bulrushrun
