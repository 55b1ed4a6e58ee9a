#include "bulrushrun/net/CrashHandler.h"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace bulrushrun {

namespace {

constexpr int kMaxFrames = 64;

/// Only calls that are safe in a signal handler.
void writeStack(int aSignal)
{
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), kMaxFrames);
  ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  // The handler was reset on entry; returning would run the faulty instruction again.
  ::raise(aSignal);
}

} // namespace

void installCrashHandler()
{
  // The first call loads a library, which a signal handler must not do.
  std::array<void*, 1> primer{};
  ::backtrace(primer.data(), 1);
  struct sigaction action
  {};
  action.sa_handler = writeStack;
  action.sa_flags = static_cast<int>(SA_RESETHAND);
  for (const int number : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
    ::sigaction(number, &action, nullptr);
  }
}

} // namespace bulrushrun
