#include "bulrushrun/configuration/Settings.h"

#include "bulrushrun/configuration/YamlMap.h"

#include <set>

namespace bulrushrun {

namespace {

constexpr std::size_t kMinSecretBytes = 16;

void checkSecret(const YamlMap& aMap, const char* aKey, const std::string& aSecret)
{
  if (!aSecret.empty() && aSecret.size() < kMinSecretBytes) {
    aMap.report(aKey,
                std::string("'") + aKey + "' must have at least " +
                  std::to_string(kMinSecretBytes) + " characters");
  }
}

void readSecrets(const YamlMap& aMap, Settings& aSettings)
{
  aSettings.mPeerKeys = aMap.texts("peer_keys");
  if (aSettings.mPeerKeys.empty()) {
    aMap.report("peer_keys", "at least one peer key is required");
  }
  for (const std::string& key : aSettings.mPeerKeys) {
    checkSecret(aMap, "peer_keys", key);
  }
  aSettings.mViewerToken = aMap.text("viewer_token");
  aSettings.mOperatorToken = aMap.text("operator_token");
  checkSecret(aMap, "viewer_token", aSettings.mViewerToken);
  checkSecret(aMap, "operator_token", aSettings.mOperatorToken);
  if (!aSettings.mViewerToken.empty() && aSettings.mViewerToken == aSettings.mOperatorToken) {
    aMap.report("operator_token", "the operator token must differ from the viewer token");
  }
}

void readAddresses(const YamlMap& aMap, Settings& aSettings)
{
  aSettings.mListen = aMap.endpoint("listen");
  aSettings.mAdmin = aMap.endpoint("admin");
  aSettings.mPeer = aMap.endpoint("peer");
  aSettings.mPlatform = aMap.endpoint("platform");
  const std::set<Endpoint> distinct{ aSettings.mListen, aSettings.mAdmin, aSettings.mPeer };
  if (distinct.size() < 3 && aSettings.mListen.mPort != 0) {
    aMap.report("listen", "listen, admin and peer must be three different addresses");
  }
}

} // namespace

std::optional<Settings> readSettings(const std::string& aText,
                                     const std::string& aFile,
                                     Findings& aFindings)
{
  const std::optional<YamlMap> map = parseYamlMap(aText, aFile, aFindings);
  if (!map) {
    return std::nullopt;
  }
  map->allowOnly({ "instance",
                   "zone",
                   "listen",
                   "admin",
                   "peer",
                   "platform",
                   "seeds",
                   "peer_keys",
                   "viewer_token",
                   "operator_token",
                   "drain_limit_ms",
                   "log_level" });
  Settings settings;
  settings.mInstance = InstanceId{ map->text("instance") };
  settings.mZone = ZoneName{ map->text("zone") };
  readAddresses(*map, settings);
  settings.mSeeds = map->endpoints("seeds");
  readSecrets(*map, settings);
  settings.mDrainLimit = map->millis("drain_limit_ms", settings.mDrainLimit);
  settings.mLogLevel =
    map->oneOf("log_level", settings.mLogLevel, { "debug", "info", "warn", "error" });
  if (!aFindings.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace bulrushrun
