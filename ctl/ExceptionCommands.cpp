#include "ctl/CommandRun.h"

#include "ctl/Exceptions.h"

#include <iostream>

/// \file
/// \brief CommandRun: commands on the exceptions in the configuration.

namespace bulrushrun {

ExitCode CommandRun::listExceptions()
{
  std::uint64_t version = 0;
  const std::optional<std::string> text = current(version);
  if (!text) {
    return ExitCode::Failed;
  }
  std::cout << describeExceptions(*text);
  return ExitCode::Done;
}

ExitCode CommandRun::addException()
{
  if (mWords.size() != 4) {
    return usage("usage: exception add target|zone NAME --author=… --reason=…");
  }
  std::uint64_t version = 0;
  const std::optional<std::string> text = current(version);
  if (!text) {
    return ExitCode::Failed;
  }
  const std::optional<std::string> edited =
    withException(*text, mWords[2], mWords[3], mOptions.mAuthor, mOptions.mReason);
  return edited ? publish(*edited, version) : usage("an exception must name a target or a zone");
}

ExitCode CommandRun::removeException()
{
  if (mWords.size() != 4) {
    return usage("usage: exception remove target|zone NAME --author=… --reason=…");
  }
  std::uint64_t version = 0;
  const std::optional<std::string> text = current(version);
  if (!text) {
    return ExitCode::Failed;
  }
  const std::optional<std::string> edited = withoutException(*text, mWords[2], mWords[3]);
  return edited ? publish(*edited, version)
                : usage("no exception matches " + mWords[2] + " '" + mWords[3] + "'");
}

} // namespace bulrushrun
