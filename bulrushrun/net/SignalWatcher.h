#pragma once

#include "bulrushrun/net/EventLoop.h"

#include <functional>
#include <initializer_list>

namespace bulrushrun {

/// \brief Delivers signals to the loop instead of to a handler; SIGPIPE is ignored.
class SignalWatcher
{
public:
  /// \brief Blocks the signals and calls \a aCallback for each one that comes.
  /// \throws std::system_error when the kernel gives no descriptor
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
