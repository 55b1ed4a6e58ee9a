#include "ctl/CommandRun.h"

#include "bulrushrun/configuration.h"
#include "ctl/TextDiff.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <random>

/// \file
/// \brief CommandRun: commands on the configuration as a whole.

namespace bulrushrun {

namespace {

std::string newChangeId()
{
  std::random_device device;
  Random random{ (std::uint64_t{ device() } << 32U) | device() };
  return random.token();
}

} // namespace

ExitCode CommandRun::show()
{
  std::string path = "/v1/configuration";
  if (mOptions.mVersion >= 0) {
    path += "?version=" + std::to_string(mOptions.mVersion);
  }
  return print({ "GET", path, {}, {} });
}

std::optional<std::string> CommandRun::current(std::uint64_t& aVersion)
{
  const std::optional<HttpResponse> response = get("/v1/configuration");
  if (!response) {
    return std::nullopt;
  }
  const std::string* version = findHeader(response->mHead.mHeaders, kVersionHeader);
  aVersion = version == nullptr ? 0 : std::strtoull(version->c_str(), nullptr, 10);
  return response->mBody;
}

ExitCode CommandRun::history()
{
  std::uint64_t version = 0;
  if (!current(version)) {
    return ExitCode::Failed;
  }
  constexpr std::uint64_t kMaxVersions = 20;
  nlohmann::json list = nlohmann::json::array();
  for (std::uint64_t v = version; v > 0 && v + kMaxVersions > version; --v) {
    const std::optional<HttpResponse> response =
      get("/v1/configuration/record?version=" + std::to_string(v));
    if (!response) {
      return ExitCode::Failed;
    }
    const std::optional<ConfigurationRecord> record = decodeConfigurationRecord(response->mBody);
    if (!record) {
      return fail("version " + std::to_string(v) + " has an invalid record");
    }
    list.push_back({ { "version", v },
                     { "accepted", formatTimestamp(record->mAccepted) },
                     { "author", record->mAuthor },
                     { "reason", record->mReason },
                     { "hash", record->mHash } });
  }
  if (mOptions.mJson) {
    std::cout << list.dump(2) << "\n";
    return ExitCode::Done;
  }
  for (const nlohmann::json& record : list) {
    std::cout << record["version"] << "  " << record["accepted"].get<std::string>() << "  "
              << record["author"].get<std::string>() << "  " << record["reason"].get<std::string>()
              << "  " << record["hash"].get<std::string>().substr(0, 12) << "\n";
  }
  return ExitCode::Done;
}

ExitCode CommandRun::diff()
{
  const std::optional<std::string> text = readFileArgument(mWords);
  std::uint64_t version = 0;
  if (!text) {
    return ExitCode::BadInput;
  }
  const std::optional<std::string> active = current(version);
  if (!active) {
    return ExitCode::Failed;
  }
  std::cout << "--- version " << version << "\n+++ " << mWords[2] << "\n"
            << textDiff(*active, *text);
  return ExitCode::Done;
}

ExitCode CommandRun::apply()
{
  const std::optional<std::string> text = readFileArgument(mWords);
  if (!text) {
    return ExitCode::BadInput;
  }
  const ExitCode checked = validateText(*text, mWords[2], FileKind::Configuration);
  if (checked != ExitCode::Done) {
    return checked;
  }
  if (mOptions.mBaseVersion < 0) {
    return usage("--base=N is required: the version on which the file is based (0 for the first)");
  }
  return publish(*text, static_cast<std::uint64_t>(mOptions.mBaseVersion));
}

ExitCode CommandRun::publish(const std::string& aText, std::uint64_t aBase)
{
  if (mOptions.mAuthor.empty() || mOptions.mReason.empty()) {
    return usage("--author and --reason are required");
  }
  const std::string changeId = mOptions.mChangeId.empty() ? newChangeId() : mOptions.mChangeId;
  const std::optional<HttpResponse> response =
    mApi.call({ "PUT",
                "/v1/configuration?base=" + std::to_string(aBase),
                { { "Bulrush-Author", mOptions.mAuthor },
                  { "Bulrush-Reason", mOptions.mReason },
                  { "Idempotency-Key", changeId } },
                aText });
  if (!response) {
    std::cerr << "no response: " << mApi.lastReason()
              << "; repeat the command with --change_id=" << changeId
              << " to learn whether the change was applied\n";
    return ExitCode::Unresolved;
  }
  if (response->mHead.mStatus == 504) {
    std::cerr << "outcome unresolved; repeat the command with --change_id=" << changeId << "\n";
    return ExitCode::Unresolved;
  }
  return reportPublish(*response, aBase);
}

/// After a conflict, prints what the other change modified.
ExitCode CommandRun::reportPublish(const HttpResponse& aResponse, std::uint64_t aBase)
{
  if (aResponse.mHead.mStatus == 200) {
    std::cout << aResponse.mBody;
    return ExitCode::Done;
  }
  std::cerr << aResponse.mBody;
  if (aResponse.mHead.mStatus != 409) {
    return aResponse.mHead.mStatus == 422 ? ExitCode::BadInput : ExitCode::Failed;
  }
  std::uint64_t version = 0;
  const std::optional<std::string> newest = current(version);
  const std::optional<HttpResponse> base =
    get("/v1/configuration?version=" + std::to_string(aBase));
  if (newest && base) {
    std::cerr << "the configuration has changed from version " << aBase << " to " << version
              << ":\n"
              << textDiff(base->mBody, *newest) << "edit version " << version
              << " and apply it with --base=" << version << "\n";
  }
  return ExitCode::Conflict;
}

ExitCode CommandRun::rollback()
{
  if (mOptions.mVersion < 1) {
    return usage("--version=N is required: the version to restore");
  }
  std::uint64_t version = 0;
  if (!current(version)) {
    return ExitCode::Failed;
  }
  const std::optional<HttpResponse> old =
    get("/v1/configuration?version=" + std::to_string(mOptions.mVersion));
  return old ? publish(old->mBody, version) : ExitCode::Failed;
}

} // namespace bulrushrun
