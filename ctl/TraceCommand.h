#pragma once

#include "ctl/Commands.h"

#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Runs `trace ID LOG...`, which reads log files and calls no instance.
/// \param aWords  words of the command, starting with `trace`
ExitCode traceCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

} // namespace bulrushrun
