#include "ctl/FileCommands.h"

#include "bulrushrun/configuration.h"

#include <iostream>

namespace bulrushrun {

namespace {

constexpr std::size_t kFileArgument = 2;

} // namespace

std::optional<std::string> readFileArgument(const std::vector<std::string>& aWords)
{
  if (aWords.size() <= kFileArgument) {
    std::cerr << "missing file argument: " << aWords[0] << " " << aWords[1] << " FILE\n";
    return std::nullopt;
  }
  std::optional<std::string> text = readFile(aWords[kFileArgument]);
  if (!text) {
    std::cerr << "cannot read '" << aWords[kFileArgument] << "'\n";
  }
  return text;
}

ExitCode validateText(const std::string& aText, const std::string& aFile, FileKind aKind)
{
  Findings findings;
  if (aKind == FileKind::Configuration) {
    readDocument(aText, aFile, findings);
  } else {
    readSettings(aText, aFile, findings);
  }
  std::cerr << findings.report();
  return findings.empty() ? ExitCode::Done : ExitCode::BadInput;
}

ExitCode validateFile(const std::vector<std::string>& aWords, FileKind aKind)
{
  const std::optional<std::string> text = readFileArgument(aWords);
  if (!text) {
    return ExitCode::BadInput;
  }
  const ExitCode checked = validateText(*text, aWords[kFileArgument], aKind);
  if (checked == ExitCode::Done) {
    std::cout << aWords[kFileArgument] << ": no findings\n";
  }
  return checked;
}

} // namespace bulrushrun
