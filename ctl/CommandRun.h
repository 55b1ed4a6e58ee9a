#pragma once

#include "ctl/Commands.h"
#include "ctl/FileCommands.h"
#include "ctl/TraceCommand.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Executes one command line; most commands call an instance.
class CommandRun
{
public:
  CommandRun(std::vector<std::string> aWords, const CommandOptions& aOptions)
    : mWords(std::move(aWords))
    , mOptions(aOptions)
    , mApi(parseEndpoint(aOptions.mAddress).value_or(Endpoint{}), aOptions.mToken)
  {
  }

  /// \brief Looks the command up by its words and runs it.
  ExitCode run();

private:
  ExitCode validateConfiguration() { return validateFile(mWords, FileKind::Configuration); }
  ExitCode validateSettings() { return validateFile(mWords, FileKind::Settings); }
  ExitCode trace() { return traceCommand(mWords, mOptions); }
  ExitCode show();
  ExitCode history();
  ExitCode diff();
  ExitCode apply();
  ExitCode rollback();
  ExitCode listExceptions();
  ExitCode addException();
  ExitCode removeException();
  ExitCode status();
  ExitCode explain();
  ExitCode drain();

  ExitCode usage(const std::string& aText) const;
  ExitCode fail(const std::string& aText) const;
  ExitCode print(const HttpRequest& aRequest);
  std::optional<HttpResponse> get(const std::string& aPath);
  ExitCode publish(const std::string& aText, std::uint64_t aBase);
  ExitCode reportPublish(const HttpResponse& aResponse, std::uint64_t aBase);
  std::optional<std::string> current(std::uint64_t& aVersion);

  std::vector<std::string> mWords;
  const CommandOptions& mOptions;
  ApiClient mApi;
};

} // namespace bulrushrun
