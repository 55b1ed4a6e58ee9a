#pragma once

namespace bulrushrun {

/// \brief Installs a handler of fatal signals that writes the call stack to standard error and
/// lets the process terminate with the same signal. addr2line resolves the addresses with the
/// program.
void installCrashHandler();

} // namespace bulrushrun
