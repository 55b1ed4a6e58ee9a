#include "bulrushrun/configuration/ConfigurationRecord.h"

#include <nlohmann/json.hpp>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

} // namespace

std::string configurationVersionKey(ConfigurationVersion aVersion)
{
  return "configuration/" + std::to_string(aVersion.value());
}

std::string configurationObjectName(const std::string& aHash)
{
  return "configuration/" + aHash;
}

std::string encodeConfigurationRecord(const ConfigurationRecord& aRecord)
{
  return Json{
    { "version", aRecord.mVersion.value() }, { "hash", aRecord.mHash },
    { "change_id", aRecord.mChangeId },      { "author", aRecord.mAuthor },
    { "reason", aRecord.mReason },           { "accepted", aRecord.mAccepted.count() }
  }.dump();
}

std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string& aText)
{
  try {
    const Json json = Json::parse(aText);
    return ConfigurationRecord{ ConfigurationVersion{ json.at("version").get<std::uint64_t>() },
                                json.at("hash").get<std::string>(),
                                json.at("change_id").get<std::string>(),
                                json.at("author").get<std::string>(),
                                json.at("reason").get<std::string>(),
                                UnixSeconds{ json.at("accepted").get<std::int64_t>() } };
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace bulrushrun
