#include "bulrushrun/net/CrashHandler.h"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace bulrushrun {

namespace {

constexpr int kMaxFrames = 64;

/// Signal handler: writes the call stack. Uses only async-signal-safe calls.
void onFatalSignal(int aSignal)
{
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), kMaxFrames);
  ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  // The default action was restored on entry (SA_RESETHAND). Returning instead would execute the
  // faulty instruction again.
  ::raise(aSignal);
}

} // namespace

void installCrashHandler()
{
  // The first call of backtrace() loads a library, which a signal handler must not do.
  std::array<void*, 1> frame{};
  ::backtrace(frame.data(), 1);
  struct sigaction handler
  {};
  handler.sa_handler = onFatalSignal;
  handler.sa_flags = static_cast<int>(SA_RESETHAND);
  for (const int number : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
    ::sigaction(number, &handler, nullptr);
  }
}

} // namespace bulrushrun
