#include "ctl/TraceCommand.h"

#include "ctl/Trace.h"

#include <fstream>
#include <iostream>

namespace bulrushrun {

namespace {

constexpr std::size_t kFirstLogArgument = 2;

/// Calls \a aOnLine for each log line with an event. \returns false when the file cannot be read.
template<class OnLine>
bool forEachLine(const std::string& aPath, OnLine aOnLine)
{
  std::ifstream file{ aPath };
  if (!file) {
    std::cerr << "cannot read '" << aPath << "'\n";
    return false;
  }
  for (std::string text; std::getline(file, text);) {
    if (const std::optional<LogLine> line = parseLogLine(text)) {
      aOnLine(*line);
    }
  }
  return true;
}

} // namespace

ExitCode traceCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions)
{
  if (aWords.size() <= kFirstLogArgument) {
    std::cerr << "usage: trace REQUEST-ID LOG...\n";
    return ExitCode::BadInput;
  }
  Trace trace{ aWords[1] };
  for (std::size_t i = kFirstLogArgument; i < aWords.size(); ++i) {
    if (!forEachLine(aWords[i], [&](const LogLine& aLine) { trace.addRequestLine(aLine); })) {
      return ExitCode::BadInput;
    }
  }
  if (!trace.isFound()) {
    std::cerr << "no log line mentions request '" << aWords[1] << "'\n";
    return ExitCode::Failed;
  }
  for (std::size_t i = kFirstLogArgument; i < aWords.size(); ++i) {
    forEachLine(aWords[i], [&](const LogLine& aLine) { trace.addContextLine(aLine); });
  }
  std::cout << (aOptions.mJson ? trace.json() : trace.text());
  return ExitCode::Done;
}

} // namespace bulrushrun
