#pragma once

#include "ctl/Commands.h"

#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Runs `trace ID LOG...`: needs logs only, no instance.
/// \param aWords  the command's words, `trace` first
ExitCode traceCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

} // namespace bulrushrun
