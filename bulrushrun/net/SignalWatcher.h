#pragma once

#include "bulrushrun/net/EventLoop.h"

#include <functional>
#include <initializer_list>

namespace bulrushrun {

/// \brief Delivers POSIX signals through the event loop instead of a signal handler. SIGPIPE is
/// ignored.
class SignalWatcher
{
public:
  /// \brief Blocks the signals and calls \a aCallback for each one received.
  /// \throws std::system_error when no signalfd can be created
  SignalWatcher(EventLoop& aLoop,
                std::initializer_list<int> aSignals,
                std::function<void()> aCallback);
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;
  SignalWatcher(SignalWatcher&&) = delete;
  SignalWatcher& operator=(SignalWatcher&&) = delete;
  ~SignalWatcher();

private:
  int mDescriptor = -1;
};

} // namespace bulrushrun
