#include "ctl/TraceCommand.h"

#include "ctl/Trace.h"

#include <fstream>
#include <iostream>

namespace bulrushrun {

namespace {

constexpr std::size_t kFirstLog = 2;

/// \returns false when the file can't be read.
template<class Take>
bool eachLine(const std::string& aPath, Take aTake)
{
  std::ifstream file{ aPath };
  if (!file) {
    std::cerr << "cannot read '" << aPath << "'\n";
    return false;
  }
  for (std::string text; std::getline(file, text);) {
    if (const std::optional<LogLine> line = parseLogLine(text)) {
      aTake(*line);
    }
  }
  return true;
}

} // namespace

ExitCode traceCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions)
{
  if (aWords.size() <= kFirstLog) {
    std::cerr << "trace REQUEST-ID LOG...\n";
    return ExitCode::BadInput;
  }
  Trace trace{ aWords[1] };
  for (std::size_t i = kFirstLog; i < aWords.size(); ++i) {
    if (!eachLine(aWords[i], [&](const LogLine& aLine) { trace.addRequestLine(aLine); })) {
      return ExitCode::BadInput;
    }
  }
  if (!trace.isFound()) {
    std::cerr << "no line names the request '" << aWords[1] << "'\n";
    return ExitCode::Failed;
  }
  for (std::size_t i = kFirstLog; i < aWords.size(); ++i) {
    eachLine(aWords[i], [&](const LogLine& aLine) { trace.addContextLine(aLine); });
  }
  std::cout << (aOptions.mJson ? trace.json() : trace.text());
  return ExitCode::Done;
}

} // namespace bulrushrun
