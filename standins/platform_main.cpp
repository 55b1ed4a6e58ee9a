#include "standins/PlatformStandIn.h"

#include "bulrushrun/net/SignalWatcher.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.2:9000", "address to listen on");

int main(int aCount, char** aArguments)
{
  using namespace bulrushrun;
  absl::SetProgramUsageMessage(
    "Stand-in for the platform's table, object store and instance list.");
  absl::ParseCommandLine(aCount, aArguments);
  const std::optional<Endpoint> listen = parseEndpoint(absl::GetFlag(FLAGS_listen));
  if (!listen) {
    std::cerr << "--listen must be an address of the form a.b.c.d:port\n";
    return 2;
  }
  EventLoop loop;
  const SignalWatcher stopSignals{ loop, { SIGTERM, SIGINT }, [&] { loop.stop(); } };
  const standins::PlatformStandIn platform{ loop, *listen };
  loop.run();
  return 0;
}
