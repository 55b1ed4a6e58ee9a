#pragma once

#include "bulrushrun/net.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <functional>
#include <iostream>
#include <optional>
#include <string>

ABSL_FLAG(std::string, settings, "", "settings file of this instance (YAML)");
ABSL_FLAG(bool, check, false, "validate the settings file and exit");

namespace bulrushrun {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadInput = 2;

/// \brief Reads and checks a settings file.
/// \param aRead  parses the text: called as `(text, path, findings)`, returns optional settings
/// \returns the settings, or nothing after adding the errors to \a aFindings
template<class Read>
auto loadSettings(const std::string& aPath, Read aRead, Findings& aFindings)
  -> decltype(aRead(std::string{}, aPath, aFindings))
{
  const std::optional<std::string> text = readFile(aPath);
  if (!text) {
    aFindings.add({ aPath }, "cannot read the settings file");
    return std::nullopt;
  }
  return aRead(*text, aPath, aFindings);
}

/// \brief Main function of a daemon: parses the command line, loads the settings, starts the log
/// and runs the daemon.
/// \param aUsage  text that --help prints
/// \param aRun  runs the daemon, called as `(settings, path)`; its result is the exit code
template<class Read, class Run>
int daemonMain(int aCount, char** aArguments, const char* aUsage, Read aRead, Run aRun)
{
  absl::SetProgramUsageMessage(aUsage);
  absl::ParseCommandLine(aCount, aArguments);
  const std::string path = absl::GetFlag(FLAGS_settings);
  Findings findings;
  const auto settings = loadSettings(path, aRead, findings);
  if (!settings) {
    std::cerr << findings.report();
    return kExitBadInput;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": no findings\n";
    return 0;
  }
  returnLargeBuffersAtOnce();
  installCrashHandler();
  startLogging(settings->mInstance.text(), settings->mLogLevel);
  try {
    return aRun(*settings, path);
  } catch (const std::exception& error) {
    std::cerr << aArguments[0] << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

} // namespace bulrushrun
