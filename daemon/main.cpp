#include "bulrushrun/instance.h"
#include "daemon/DaemonMain.h"

#include <csignal>

namespace {

using namespace bulrushrun;

int runDaemon(const Settings& aSettings, const std::string&)
{
  EventLoop loop;
  std::size_t cut = 0;
  std::unique_ptr<Instance<DaemonHost>> instance;
  // Before any library starts a thread: signals must be blocked in all of them.
  const SignalWatcher signals{ loop, { SIGTERM, SIGINT }, [&] { instance->stop(); } };
  DaemonHost host{ loop, aSettings.mPlatform, aSettings.mPeer, [&](const std::string& aBytes) {
                    instance->handlePeer(aBytes);
                  } };
  instance = std::make_unique<Instance<DaemonHost>>(host, aSettings, [&](std::size_t aCut) {
    cut = aCut;
    loop.stop();
  });
  HttpServer callers{ loop,
                      aSettings.mListen,
                      { [&](std::string_view aPath) { return instance->lookup(aPath); },
                        [&](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                          instance->handleCaller(std::move(aRequest), std::move(aResponder));
                        } } };
  HttpServer admin{ loop,
                    aSettings.mAdmin,
                    { nullptr,
                      [&](const HttpRequest& aRequest,
                          const std::shared_ptr<HttpResponder>& aResponder) {
                        instance->handleAdmin(aRequest, aResponder);
                      } } };
  instance->start();
  loop.run();
  return cut == 0 ? 0 : kExitFailure;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return daemonMain(aCount,
                    aArguments,
                    "one instance of bulrushrun\n  bulrushrund --settings=FILE [--check]",
                    readSettings,
                    runDaemon);
}
