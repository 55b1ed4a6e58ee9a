#pragma once

#include "bulrushrun/core.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Bounds that the deployment sets for the whole fleet.
struct FleetBounds
{
  /// A leaving target may get work for this long after it was announced.
  Duration mDrain = std::chrono::milliseconds(2500);
  /// A configuration is in force everywhere within this span.
  Duration mConfigurationApply = std::chrono::milliseconds(2500);
  /// Time between the request to stop and the kill.
  Duration mGrace = std::chrono::seconds(6);
  double mRetryRatio = 0.1;
  Duration mRetryWindow = std::chrono::seconds(10);
  double mRetrySlack = 0;
  double mColdFactor = 1;
  double mColdSlack = 0;
};

/// \brief Settings of an instance that steers on a platform with a rows store.
struct SteeringSettings
{
  InstanceId mInstance;
  ZoneName mZone;
  std::map<ZoneName, RegionName> mRegions;
  /// For callers' requests.
  Endpoint mListen;
  /// For callers' look-ups.
  Endpoint mLookup;
  Endpoint mReadiness;
  Endpoint mMetrics;
  /// For news between instances, over HTTP; the same port on every instance.
  Endpoint mPeerReplication;
  /// For gossip, over UDP; the same port on every instance.
  Endpoint mPeer;
  Endpoint mStore;
  /// Instances to ask first. Their ports do not matter: those are the same on every instance.
  std::vector<Endpoint> mSeeds;
  std::vector<std::string> mPeerKeys;
  FleetBounds mBounds;
  std::size_t mMemoryMegabytes = 256;
  std::string mLogLevel = "info";
};

/// \brief Reads the settings from YAML.
///
/// \param aText  the YAML text
/// \param aFile  the name used in findings
/// \param aFindings  receives everything that is wrong
/// \returns the settings, or nothing when there was any finding
std::optional<SteeringSettings> readSteeringSettings(const std::string& aText,
                                                     const std::string& aFile,
                                                     Findings& aFindings);

} // namespace bulrushrun
