#include "ctl/Commands.h"

#include "ctl/CommandRun.h"

#include <iostream>
#include <map>

namespace bulrushrun {

ExitCode CommandRun::usage(const std::string& aText) const
{
  std::cerr << aText << "\n";
  return ExitCode::BadInput;
}

ExitCode CommandRun::fail(const std::string& aText) const
{
  std::cerr << aText << "\n";
  return ExitCode::Failed;
}

std::optional<HttpResponse> CommandRun::get(const std::string& aPath)
{
  std::optional<HttpResponse> response = mApi.call({ "GET", aPath, {}, {} });
  if (!response) {
    fail("no response from " + mOptions.mAddress + ": " + mApi.lastReason());
  } else if (response->mHead.mStatus != 200) {
    fail(response->mBody);
    return std::nullopt;
  }
  return response;
}

ExitCode CommandRun::print(const HttpRequest& aRequest)
{
  const std::optional<HttpResponse> response = mApi.call(aRequest);
  if (!response) {
    return fail("no response from " + mOptions.mAddress + ": " + mApi.lastReason());
  }
  const bool succeeded = response->mHead.mStatus < 300;
  (succeeded ? std::cout : std::cerr) << response->mBody;
  return succeeded ? ExitCode::Done : ExitCode::Failed;
}

ExitCode CommandRun::status()
{
  return print({ "GET", "/v1/status", {}, {} });
}

ExitCode CommandRun::explain()
{
  return print({ "GET",
                 "/v1/explain?tenant=" + mOptions.mTenant + "&service=" + mOptions.mService +
                   "&class=" + mOptions.mClass,
                 {},
                 {} });
}

ExitCode CommandRun::drain()
{
  return print({ "POST", "/v1/drain", {}, {} });
}

ExitCode CommandRun::run()
{
  const std::map<std::string, ExitCode (CommandRun::*)()> kCommands{
    { "config validate", &CommandRun::validateConfiguration },
    { "config show", &CommandRun::show },
    { "config history", &CommandRun::history },
    { "config diff", &CommandRun::diff },
    { "config apply", &CommandRun::apply },
    { "config rollback", &CommandRun::rollback },
    { "exception list", &CommandRun::listExceptions },
    { "exception add", &CommandRun::addException },
    { "exception remove", &CommandRun::removeException },
    { "settings validate", &CommandRun::validateSettings },
    { "trace", &CommandRun::trace },
    { "status", &CommandRun::status },
    { "explain", &CommandRun::explain },
    { "drain", &CommandRun::drain }
  };
  std::string name = mWords.empty() ? "" : mWords[0];
  if (!kCommands.contains(name) && mWords.size() > 1) {
    name += " " + mWords[1];
  }
  const auto command = kCommands.find(name);
  if (command == kCommands.end()) {
    std::string known = "unknown command '" + name + "'; known:";
    for (const auto& [text, member] : kCommands) {
      known += "\n  " + text;
    }
    return usage(known);
  }
  return (this->*command->second)();
}

ExitCode runCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions)
{
  return CommandRun{ aWords, aOptions }.run();
}

} // namespace bulrushrun
