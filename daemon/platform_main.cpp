#include "bulrushrun/steering.h"
#include "daemon/DaemonMain.h"
#include "platform/Adapter.h"

#include <csignal>

namespace {

using namespace bulrushrun;

using Node = SteeringInstance<EventLoopHost, platform::Adapter>;

/// Settings may change without a signal.
constexpr Duration kSettingsPeriod = std::chrono::seconds(2);
/// Time for which an idle connection of a caller outlasts the configured limit.
constexpr Duration kIdleMargin = std::chrono::seconds(1);
/// Part of the memory that one request's body may take.
constexpr std::size_t kBodyMemoryShare = 8;

/// \brief Reads the settings file again and takes over what may change while running.
class SettingsWatch
{
public:
  SettingsWatch(EventLoop& aLoop, EventLoopHost& aHost, std::string aPath, Node& aNode)
    : mLoop(aLoop)
    , mHost(aHost)
    , mPath(std::move(aPath))
    , mNode(aNode)
    , mText(readFile(mPath).value_or(""))
  {
    poll();
  }

  void check()
  {
    const std::optional<std::string> text = readFile(mPath);
    if (text && *text == mText) {
      return;
    }
    mText = text.value_or("");
    Findings findings;
    const std::optional<SteeringSettings> settings =
      loadSettings(mPath, readSteeringSettings, findings);
    if (!settings) {
      mHost.log(events::kSettingsRefused, "findings=\"" + findings.report() + "\"");
      return;
    }
    mNode.setBounds(settings->mBounds);
    mHost.log(events::kSettingsAdopted, "file=" + mPath);
  }

private:
  void poll()
  {
    check();
    mLoop.after(kSettingsPeriod, [this] { poll(); });
  }

  EventLoop& mLoop;
  EventLoopHost& mHost;
  std::string mPath;
  Node& mNode;
  std::string mText;
};

using RequestHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

int runDaemon(const SteeringSettings& aSettings, const std::string& aPath)
{
  EventLoop loop;
  std::unique_ptr<Node> node;
  std::unique_ptr<SettingsWatch> watch;
  std::size_t cut = 0;
  // Before any library starts a thread: signals must be blocked in all of them.
  const SignalWatcher stops{ loop, { SIGTERM, SIGINT }, [&] { node->stop(); } };
  const SignalWatcher reloads{ loop, { SIGHUP }, [&] { watch->check(); } };
  EventLoopHost host{ loop, aSettings.mPeer, [&](const std::string& aBytes) {
                       node->handlePeer(aBytes);
                     } };
  node = std::make_unique<Node>(host, aSettings, [&](std::size_t aCut) {
    cut = aCut;
    loop.stop();
  });
  const auto serve = [&loop](const Endpoint& aEndpoint, RequestHandler aHandler) {
    return std::make_unique<HttpServer>(
      loop, aEndpoint, HttpHandlers{ nullptr, std::move(aHandler) });
  };
  const std::unique_ptr<HttpServer> callers =
    serve(aSettings.mListen, [&](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
      node->handleCaller(std::move(aRequest), std::move(aResponder));
    });
  const std::unique_ptr<HttpServer> lookups =
    serve(aSettings.mLookup, [&](const HttpRequest& aRequest, const auto& aResponder) {
      node->handleLookup(aRequest, aResponder);
    });
  const std::unique_ptr<HttpServer> readiness =
    serve(aSettings.mReadiness, [&](const HttpRequest& aRequest, const auto& aResponder) {
      node->handleReadiness(aRequest, aResponder);
    });
  const std::unique_ptr<HttpServer> news =
    serve(aSettings.mPeerReplication, [&](const HttpRequest& aRequest, const auto& aResponder) {
      node->handlePeerRequest(aRequest, aResponder);
    });
  const std::unique_ptr<HttpServer> metrics =
    serve(aSettings.mMetrics,
          [&](const HttpRequest&, const auto& aResponder) { node->handleMetrics(aResponder); });
  const std::size_t bodyCap = aSettings.mMemoryMegabytes * 1024 * 1024 / kBodyMemoryShare;
  node->setOnLimits([&](const CallerLimits& aLimits) {
    const std::size_t body = aLimits.mBodyBytes == 0 ? bodyCap : aLimits.mBodyBytes;
    callers->setLimits(aLimits.mIdleTimeout + kIdleMargin, std::min(body, bodyCap));
  });
  node->setOnAcceptingEnded([&] { callers->close(); });
  node->setOpenResponseCount([&] { return callers->inProgress(); });
  watch = std::make_unique<SettingsWatch>(loop, host, aPath, *node);
  node->start();
  loop.run();
  return cut == 0 ? 0 : kExitFailure;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return daemonMain(aCount,
                    aArguments,
                    "one instance of bulrushrun on the users' platform\n"
                    "  bulrushrund-platform --settings=FILE [--check]",
                    readSteeringSettings,
                    runDaemon);
}
