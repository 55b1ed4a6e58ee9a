#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Settings of one instance: its identity, addresses, seed peers and secrets.
struct Settings
{
  InstanceId mInstance;
  ZoneName mZone;
  /// Address for callers and for requests relayed by peers.
  Endpoint mListen;
  /// Address of the administration API and metrics.
  Endpoint mAdmin;
  /// Address for control messages of peers.
  Endpoint mPeer;
  Endpoint mPlatform;
  /// Control addresses of the peers to contact first.
  std::vector<Endpoint> mSeeds;
  /// Shared keys for messages between instances: the first is used to sign, all to verify.
  std::vector<std::string> mPeerKeys;
  std::string mViewerToken;
  std::string mOperatorToken;
  /// Longest time that a graceful shutdown waits for requests in progress.
  Duration mDrainLimit = std::chrono::seconds(60);
  std::string mLogLevel = "info";
};

/// \brief Reads the settings of an instance from YAML.
///
/// \param aText  the YAML text
/// \param aFile  file name for findings
/// \param aFindings  receives all errors
/// \returns the settings, or nothing when there was any finding
std::optional<Settings> readSettings(const std::string& aText,
                                     const std::string& aFile,
                                     Findings& aFindings);

} // namespace bulrushrun
