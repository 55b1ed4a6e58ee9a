#include "bulrushrun/administration/AdminResponses.h"

#include "bulrushrun/configuration/ConfigurationSync.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

} // namespace

HttpResponse textResponse(int aStatus, const std::string& aText)
{
  return { { aStatus, { { "Content-Type", "text/plain" } }, std::nullopt }, aText + "\n" };
}

HttpResponse jsonResponse(int aStatus, const std::string& aJson)
{
  return { { aStatus, { { "Content-Type", "application/json" } }, std::nullopt }, aJson + "\n" };
}

HttpResponse errorResponse(int aStatus, const std::string& aError, const std::string& aDetail)
{
  return jsonResponse(aStatus, Json{ { "error", aError }, { "detail", aDetail } }.dump());
}

HttpResponse configurationResponse(ConfigurationVersion aVersion, const std::string& aText)
{
  return { { 200,
             { { "Content-Type", "application/yaml" },
               { kVersionHeader, std::to_string(aVersion.value()) } },
             std::nullopt },
           aText };
}

HttpResponse publishResponse(const PublishResult& aResult)
{
  const std::uint64_t version = aResult.mVersion.value();
  switch (aResult.mStatus) {
    case PublishStatus::Accepted:
      return jsonResponse(200, Json{ { "accepted", true }, { "version", version } }.dump());
    case PublishStatus::Invalid:
      return jsonResponse(422,
                          Json{ { "error", "invalid" }, { "detail", aResult.mReport } }.dump());
    case PublishStatus::Conflict:
      return jsonResponse(409,
                          Json{ { "error", "conflict" },
                                { "detail", "another change was accepted first" },
                                { "version", version } }
                            .dump());
    case PublishStatus::Unavailable:
      return errorResponse(503, "store unavailable", "nothing was changed");
    case PublishStatus::Unresolved:
      break;
  }
  return errorResponse(
    504,
    "unresolved",
    "the store did not respond; send the same change again to find out whether it was applied");
}

std::string queryOf(const std::string& aPath)
{
  const std::size_t queryStart = aPath.find('?');
  return queryStart == std::string::npos ? std::string{} : aPath.substr(queryStart + 1);
}

std::string queryText(const std::string& aPath, const std::string& aName)
{
  std::string rest = queryOf(aPath);
  while (!rest.empty()) {
    const std::string parameter = rest.substr(0, rest.find('&'));
    rest.erase(0, std::min(parameter.size() + 1, rest.size()));
    if (parameter.starts_with(aName + "=")) {
      return parameter.substr(aName.size() + 1);
    }
  }
  return {};
}

std::optional<std::uint64_t> queryNumber(const std::string& aPath, const std::string& aName)
{
  const std::string text = queryText(aPath, aName);
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace bulrushrun
