#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Key of the record of the current configuration; its version is the configuration version.
inline constexpr const char* kCurrentVersionKey = "configuration/head";

/// \brief \returns the key of the record of one version.
std::string configurationVersionKey(ConfigurationVersion aVersion);

/// \brief \returns the name of the object that stores the text with that content hash.
std::string configurationObjectName(const std::string& aHash);

/// \brief One accepted configuration: hash of its text, author and reason.
struct ConfigurationRecord
{
  ConfigurationVersion mVersion;
  /// Content hash of the text.
  std::string mHash;
  /// Unique id of the change, to recognize it when the response to its write was lost.
  std::string mChangeId;
  std::string mAuthor;
  std::string mReason;
  UnixSeconds mAccepted{ 0 };
};

/// \brief \returns the record as JSON.
std::string encodeConfigurationRecord(const ConfigurationRecord& aRecord);

/// \brief \returns the record, or nothing when the text is malformed.
std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string& aText);

} // namespace bulrushrun
