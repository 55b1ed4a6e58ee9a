#pragma once

namespace bulrushrun {

/// \brief Writes the call stack to standard error when the process crashes, then lets it die of the
/// same signal. The addresses are resolved with addr2line and the program.
void installCrashHandler();

} // namespace bulrushrun
