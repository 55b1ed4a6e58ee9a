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
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace bulrushrun {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadInput = 2;

/// \brief Reads and checks a settings file.
/// \param aRead  reads the text: `(text, file, findings)` to optional settings
/// \returns the settings, or nothing after adding what is wrong to \a aFindings
template<class Read>
auto loadSettings(const std::string& aPath, Read aRead, Findings& aFindings)
  -> decltype(aRead(std::string{}, aPath, aFindings))
{
  const std::optional<std::string> text = readFile(aPath);
  if (!text) {
    aFindings.add({ aPath }, "the file can't be read");
    return std::nullopt;
  }
  return aRead(*text, aPath, aFindings);
}

/// \brief The whole of a daemon's main: command line, settings, log, and what it runs.
/// \param aUsage  text behind --help
/// \param aRun  runs the daemon with `(settings, path)`; its result is the exit code
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
