#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Key of the record whose version is the configuration's version.
inline constexpr const char* kCurrentVersionKey = "configuration/head";

/// \brief \returns the key of the record of one version.
std::string configurationVersionKey(ConfigurationVersion aVersion);

/// \brief \returns the name of the object with the text of that hash.
std::string configurationObjectName(const std::string& aHash);

/// \brief One accepted configuration: which text, who accepted it and why.
struct ConfigurationRecord
{
  ConfigurationVersion mVersion;
  /// Content hash of the text.
  std::string mHash;
  /// Unique id of the act that wrote it, to recognise it when the answer was lost.
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
