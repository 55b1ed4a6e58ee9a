#include "soak/DaemonProcess.h"

#include "bulrushrun/core/ScopeGuard.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <system_error>
#include <utility>

namespace bulrushrun::soak {

DaemonProcess::DaemonProcess(std::string aProgram, const std::string& aSettings, std::string aLog)
  : mProgram(std::move(aProgram))
  , mSettings("--settings=" + aSettings)
  , mLog(std::move(aLog))
{
}

DaemonProcess::~DaemonProcess()
{
  if (isRunning()) {
    signal(SIGKILL);
    ::waitpid(mProcess, nullptr, 0);
  }
}

void DaemonProcess::start()
{
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  const ScopeGuard release{ [&] {
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
  } };
  constexpr int kLogFileMode = 0644;
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // This program blocks the signals that it handles; the child starts with none blocked, as from
  // a shell.
  sigset_t emptySet;
  sigemptyset(&emptySet);
  posix_spawnattr_setsigmask(&attributes, &emptySet);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::array<char*, 3> arguments{ mProgram.data(), mSettings.data(), nullptr };
  const int errorCode =
    ::posix_spawn(&mProcess, mProgram.c_str(), &actions, &attributes, arguments.data(), environ);
  if (errorCode != 0) {
    mProcess = -1;
    throw std::system_error(errorCode, std::generic_category(), "cannot start " + mProgram);
  }
}

void DaemonProcess::signal(int aSignal) const
{
  if (isRunning()) {
    ::kill(mProcess, aSignal);
  }
}

std::optional<int> DaemonProcess::reap()
{
  int status = 0;
  if (!isRunning() || ::waitpid(mProcess, &status, WNOHANG) != mProcess) {
    return std::nullopt;
  }
  mProcess = -1;
  return status;
}

} // namespace bulrushrun::soak
