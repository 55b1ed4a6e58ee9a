#pragma once

#include "bulrushrun/net.h"

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>

namespace bulrushrun::soak {

/// \brief Child process that runs the program under test, with its settings file and its log. It is
/// killed by the destructor.
class DaemonProcess
{
public:
  /// \param aProgram  path of the program
  /// \param aSettings  path of the settings file
  /// \param aLog  path of the file to which the output is appended
  DaemonProcess(std::string aProgram, const std::string& aSettings, std::string aLog);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  DaemonProcess(DaemonProcess&&) = delete;
  DaemonProcess& operator=(DaemonProcess&&) = delete;
  ~DaemonProcess();

  /// \brief Starts the process, also again after it has ended.
  /// \throws std::system_error if it can't be started
  void start();
  /// \brief Sends a signal if the process is running.
  void signal(int aSignal) const;
  /// \brief \returns the status of waitpid, once, after the process has ended.
  std::optional<int> reap();
  bool isRunning() const { return mProcess > 0; }

private:
  std::string mProgram;
  std::string mSettings;
  std::string mLog;
  pid_t mProcess = -1;
};

} // namespace bulrushrun::soak
