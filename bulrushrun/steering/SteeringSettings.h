#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/quotas/QuotaLimits.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Bounds that the deployment sets for the whole fleet.
struct FleetBounds
{
  /// A draining target may get requests for this long after it announced the drain.
  Duration mDrain = std::chrono::milliseconds(2500);
  /// A configuration is in force on all instances within this time.
  Duration mConfigurationApply = std::chrono::milliseconds(2500);
  /// Time from the platform's request to stop until it kills the process.
  Duration mGrace = std::chrono::seconds(6);
  double mRetryRatio = 0.1;
  Duration mRetryWindow = std::chrono::seconds(10);
  double mRetrySlack = 0;
  double mColdFactor = 1;
  double mColdSlack = 0;
  /// Share of the requests of a region's callers that may change the region in which they run from
  /// one window of 2 s to the next; above 0, at most 1.
  double mMaxShift = kDefaultMaxShift;
  /// Overshoot of customers' quotas.
  QuotaBounds mQuota;
};

/// \brief Settings of a SteeringInstance, which runs on a platform with a row store.
struct SteeringSettings
{
  InstanceId mInstance;
  ZoneName mZone;
  std::map<ZoneName, RegionName> mRegions;
  /// For callers' requests.
  Endpoint mListen;
  /// For callers' lookups.
  Endpoint mLookup;
  Endpoint mReadiness;
  Endpoint mMetrics;
  /// For peer replication, over HTTP; the same port on every instance.
  Endpoint mPeerReplication;
  /// For gossip, over UDP; the same port on every instance.
  Endpoint mPeer;
  Endpoint mStore;
  /// Instances to contact first. Their ports are ignored, being the same on every instance.
  std::vector<Endpoint> mSeeds;
  std::vector<std::string> mPeerKeys;
  FleetBounds mBounds;
  std::size_t mMemoryMegabytes = 256;
  /// Processor time of this instance in cores; 0 when unknown.
  double mProcessorShare = 0;
  std::string mLogLevel = "info";
};

/// \brief Reads the settings from YAML.
///
/// \param aText  the YAML text
/// \param aFile  the name used in findings
/// \param aFindings  receives all errors
/// \returns the settings, or nothing if there was any error
std::optional<SteeringSettings> readSteeringSettings(const std::string& aText,
                                                     const std::string& aFile,
                                                     Findings& aFindings);

} // namespace bulrushrun
