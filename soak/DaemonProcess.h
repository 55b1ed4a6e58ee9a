#pragma once

#include "bulrushrun/net.h"

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>

namespace bulrushrun::soak {

/// \brief One process of the real program, with its settings file and its log. Ends with its owner.
class DaemonProcess
{
public:
  /// \param aProgram  path of the program
  /// \param aSettings  path of its settings file
  /// \param aLog  file to which its output is appended
  DaemonProcess(std::string aProgram, const std::string& aSettings, std::string aLog);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  DaemonProcess(DaemonProcess&&) = delete;
  DaemonProcess& operator=(DaemonProcess&&) = delete;
  ~DaemonProcess();

  /// \brief Starts the process anew.
  /// \throws std::system_error when it can't be started
  void start();
  /// \brief Sends a signal, when the process runs.
  void signal(int aSignal) const;
  /// \brief \returns how the process ended, once, when it did: the status of waitpid.
  std::optional<int> reap();
  bool isRunning() const { return mProcess > 0; }

private:
  std::string mProgram;
  std::string mSettings;
  std::string mLog;
  pid_t mProcess = -1;
};

} // namespace bulrushrun::soak
