#include "bulrushrun/net/SignalWatcher.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace bulrushrun {

SignalWatcher::SignalWatcher(EventLoop& aLoop,
                             std::initializer_list<int> aSignals,
                             std::function<void()> aCallback)
{
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t set;
  sigemptyset(&set);
  for (const int number : aSignals) {
    sigaddset(&set, number);
  }
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  mDescriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (mDescriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "cannot create a signalfd");
  }
  aLoop.watch(mDescriptor, [this, callback = std::move(aCallback)] {
    signalfd_siginfo info{};
    while (::read(mDescriptor, &info, sizeof(info)) == sizeof(info)) {
      callback();
    }
  });
}

SignalWatcher::~SignalWatcher()
{
  ::close(mDescriptor);
}

} // namespace bulrushrun
