#include <csignal>
#include <initializer_list>

/// \file
/// \brief Blocks the signals that a daemon handles before its libraries are initialized, so that
/// one that arrives during the start stays pending until SignalWatcher reads it.

namespace {

void blockHandledSignals(int, char**, char**)
{
  sigset_t set;
  sigemptyset(&set);
  for (const int number : { SIGHUP, SIGTERM, SIGINT }) {
    sigaddset(&set, number);
  }
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

using Initializer = void (*)(int, char**, char**);

// Runs before the static initializers of all shared libraries.
[[gnu::used, gnu::section(".preinit_array")]] const Initializer kBlockSignals = blockHandledSignals;

} // namespace
