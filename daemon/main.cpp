#include "bulrushrun/instance.h"
#include "daemon/DaemonMain.h"

#include <csignal>

namespace {

using namespace bulrushrun;

int runDaemon(const Settings& aSettings, const std::string&)
{
  EventLoop loop;
  std::size_t interruptedRequests = 0;
  std::unique_ptr<Instance<DaemonHost>> instance;
  // Before any library starts a thread, so that all threads inherit the mask of blocked signals.
  const SignalWatcher stopSignals{ loop, { SIGTERM, SIGINT }, [&] { instance->stop(); } };
  DaemonHost host{ loop, aSettings.mPlatform, aSettings.mPeer, [&](const std::string& aBytes) {
                    instance->handleGossip(aBytes);
                  } };
  instance =
    std::make_unique<Instance<DaemonHost>>(host, aSettings, [&](std::size_t aInterruptedRequests) {
      interruptedRequests = aInterruptedRequests;
      loop.stop();
    });
  HttpServer callerServer{ loop,
                           aSettings.mListen,
                           { [&](std::string_view aPath) { return instance->lookup(aPath); },
                             [&](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                               instance->handleCaller(std::move(aRequest), std::move(aResponder));
                             } } };
  HttpServer adminServer{ loop,
                          aSettings.mAdmin,
                          { nullptr,
                            [&](const HttpRequest& aRequest,
                                const std::shared_ptr<HttpResponder>& aResponder) {
                              instance->handleAdmin(aRequest, aResponder);
                            } } };
  instance->start();
  loop.run();
  return interruptedRequests == 0 ? 0 : kExitFailure;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return daemonMain(aCount,
                    aArguments,
                    "Runs one instance of bulrushrun.\n  bulrushrund --settings=FILE [--check]",
                    readSettings,
                    runDaemon);
}
