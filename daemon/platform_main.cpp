#include "bulrushrun/steering.h"
#include "daemon/DaemonMain.h"
#include "platform/Adapter.h"

#include <csignal>

namespace {

using namespace bulrushrun;

using PlatformInstance = SteeringInstance<EventLoopHost, platform::Adapter>;

/// The settings file is also polled, because it may change without a SIGHUP.
constexpr Duration kSettingsPollPeriod = std::chrono::seconds(2);
/// An idle connection of a caller is kept this much longer than the configured idle timeout.
constexpr Duration kIdleTimeoutMargin = std::chrono::seconds(1);
/// The body of one request may take at most 1/8 of the instance's memory. While all requests take
/// over 3/8, callers' connections are not read, except for what fits into half of it.
constexpr std::size_t kBodyMemoryDivisor = 8;
constexpr std::size_t kBodiesInBudget = 3;
/// Responses that wait for their turn on their connections may take 1/16 of the instance's memory.
constexpr std::size_t kWaitingResponsesDivisor = 16;
/// Requests of other servers than that of the callers have no bodies.
constexpr std::size_t kMaxControlBodyBytes = std::size_t{ 16 } * 1024;

/// \brief Reloads the settings file when it changes, and applies the settings that may change at
/// run time.
class SettingsWatcher
{
public:
  SettingsWatcher(EventLoop& aLoop,
                  EventLoopHost& aHost,
                  std::string aPath,
                  PlatformInstance& aInstance)
    : mLoop(aLoop)
    , mHost(aHost)
    , mPath(std::move(aPath))
    , mInstance(aInstance)
    , mText(readFile(mPath).value_or(""))
  {
    poll();
  }

  void reloadIfChanged()
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
    mInstance.setBounds(settings->mBounds);
    mHost.log(events::kSettingsAdopted, "file=" + mPath);
  }

private:
  void poll()
  {
    reloadIfChanged();
    mLoop.after(kSettingsPollPeriod, [this] { poll(); });
  }

  EventLoop& mLoop;
  EventLoopHost& mHost;
  std::string mPath;
  PlatformInstance& mInstance;
  std::string mText;
};

using RequestHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// Bounds the bytes of all requests of callers.
void limitInput(EventLoop& aLoop,
                EventLoopHost& aHost,
                InputThrottle& aThrottle,
                std::size_t aMaxBodyBytes)
{
  aThrottle.setLimits({ kBodiesInBudget * aMaxBodyBytes, aMaxBodyBytes });
  aThrottle.setOnChange([&aHost](std::size_t aHeldBytes, std::size_t aPausedConnections) {
    aHost.log(aPausedConnections > 0 ? events::kReadingPaused : events::kReadingResumed,
              "held_bytes=" + std::to_string(aHeldBytes) +
                " paused_connections=" + std::to_string(aPausedConnections));
  });
  aLoop.setAfterEvents([&aThrottle] { aThrottle.update(); });
}

/// Bounds the responses that wait for their turn on callers' connections.
void limitPipeline(EventLoopHost& aHost,
                   PlatformInstance& aInstance,
                   RequestPipeline& aPipeline,
                   std::size_t aMemoryMegabytes)
{
  aPipeline.setProcessLimit(aMemoryMegabytes * 1024 * 1024 / kWaitingResponsesDivisor);
  aPipeline.setOnEvent(
    [&aHost](const Event& aEvent, const std::string& aText) { aHost.log(aEvent, aText); });
  aInstance.setConnectionMetrics(
    [&aPipeline](std::string& aText) { aPipeline.renderMetrics(aText); });
}

HttpHandlers callerHandlers(PlatformInstance& aInstance)
{
  return { nullptr,
           [&aInstance](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
             aInstance.handleCaller(std::move(aRequest), std::move(aResponder));
           },
           true,
           [&aInstance](const HttpRequest& aRequest) { return aInstance.mayRunAhead(aRequest); } };
}

int runDaemon(const SteeringSettings& aSettings, const std::string& aPath)
{
  EventLoop loop;
  std::unique_ptr<PlatformInstance> instance;
  std::unique_ptr<SettingsWatcher> settingsWatcher;
  std::size_t interruptedRequests = 0;
  // Before any library starts a thread, so that all threads inherit the mask of blocked signals.
  const SignalWatcher stopSignals{ loop, { SIGTERM, SIGINT }, [&] { instance->stop(); } };
  const SignalWatcher reloadSignals{ loop, { SIGHUP }, [&] {
                                      settingsWatcher->reloadIfChanged();
                                    } };
  EventLoopHost host{ loop, aSettings.mPeer, [&](const std::string& aBytes) {
                       instance->handleGossip(aBytes);
                     } };
  instance =
    std::make_unique<PlatformInstance>(host, aSettings, [&](std::size_t aInterruptedRequests) {
      interruptedRequests = aInterruptedRequests;
      loop.stop();
    });
  const std::size_t maxBodyBytes = aSettings.mMemoryMegabytes * 1024 * 1024 / kBodyMemoryDivisor;
  const std::unique_ptr<HttpServer> callerServer =
    std::make_unique<HttpServer>(loop, aSettings.mListen, callerHandlers(*instance), maxBodyBytes);
  limitInput(loop, host, callerServer->inputThrottle(), maxBodyBytes);
  limitPipeline(host, *instance, callerServer->pipeline(), aSettings.mMemoryMegabytes);
  const auto makeServer = [&loop](const Endpoint& aEndpoint, RequestHandler aHandler) {
    return std::make_unique<HttpServer>(
      loop, aEndpoint, HttpHandlers{ nullptr, std::move(aHandler) }, kMaxControlBodyBytes);
  };
  const std::unique_ptr<HttpServer> lookupServer =
    makeServer(aSettings.mLookup, [&](const HttpRequest& aRequest, const auto& aResponder) {
      instance->handleLookup(aRequest, aResponder);
    });
  const std::unique_ptr<HttpServer> readinessServer =
    makeServer(aSettings.mReadiness, [&](const HttpRequest& aRequest, const auto& aResponder) {
      instance->handleReadiness(aRequest, aResponder);
    });
  const std::unique_ptr<HttpServer> peerReplicationServer = makeServer(
    aSettings.mPeerReplication, [&](const HttpRequest& aRequest, const auto& aResponder) {
      instance->handlePeerRequest(aRequest, aResponder);
    });
  const std::unique_ptr<HttpServer> metricsServer =
    makeServer(aSettings.mMetrics, [&](const HttpRequest&, const auto& aResponder) {
      instance->handleMetrics(aResponder);
    });
  instance->setOnLimits([&](const CallerLimits& aLimits) {
    const std::size_t bodyBytes = aLimits.mBodyBytes == 0 ? maxBodyBytes : aLimits.mBodyBytes;
    callerServer->setLimits(aLimits.mIdleTimeout + kIdleTimeoutMargin,
                            std::min(bodyBytes, maxBodyBytes));
  });
  instance->setOnAcceptingEnded([&] { callerServer->close(); });
  instance->setOpenResponseCount([&] { return callerServer->requestsInProgress(); });
  settingsWatcher = std::make_unique<SettingsWatcher>(loop, host, aPath, *instance);
  instance->start();
  loop.run();
  return interruptedRequests == 0 ? 0 : kExitFailure;
}

} // namespace

int main(int aCount, char** aArguments)
{
  return daemonMain(aCount,
                    aArguments,
                    "Runs one instance of bulrushrun on the users' platform.\n"
                    "  bulrushrund-platform --settings=FILE [--check]",
                    readSteeringSettings,
                    runDaemon);
}
