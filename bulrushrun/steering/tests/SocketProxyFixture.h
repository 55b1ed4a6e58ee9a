#pragma once

#include "bulrushrun/net/tests/RawCaller.h"
#include "bulrushrun/steering.h"
#include "platform/Adapter.h"

#include <gtest/gtest.h>

#include <sys/eventfd.h>

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace bulrushrun {

/// A caller on a raw socket and the proxy of an instance, with one target t1 at kPeer.
class SocketProxyFixture : public testing::Test
{
protected:
  using Proxy = RequestProxy<EventLoopHost, platform::Adapter>;

  SocketProxyFixture()
    : mHost(mLoop, kUnusedEndpoint, [](const std::string&) {})
    , mServer(mLoop,
              kServer,
              { nullptr, [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                 mProxy->accept(std::move(aRequest), std::move(aResponder), EventLoop::now());
               } })
  {
    // As the daemon does.
    std::signal(SIGPIPE, SIG_IGN);
    mLoop.watch(mCallEnded, [this] {
      eventfd_t calls = 0;
      (void)::eventfd_read(mCallEnded, &calls);
      mLoop.stop();
    });
  }
  ~SocketProxyFixture() override
  {
    mServer.close();
    runFor(Duration{ 0 });
    ::close(mCallEnded);
  }

  /// Starts over with a proxy that knows of no earlier failure of the target.
  void resetProxy(const std::string& aPlan)
  {
    std::string reason;
    mState = std::make_unique<SteeringState>();
    mState->mPlan =
      std::make_shared<const RoutePlan>(*platform::Adapter::parseRoutePlan(aPlan, reason));
    TargetEntry target;
    target.mId = TargetId{ "t1" };
    target.mService = ServiceName{ "s" };
    target.mEndpoint = kPeer;
    mState->mTargets.update(target, EventLoop::now());
    mState->mTargets.setComplete();
    mProxy = std::make_unique<Proxy>(mHost, *mState);
  }
  /// Sends one request, and runs the instance until the caller has received the response.
  RawCaller call(const std::string& aRequest)
  {
    std::optional<RawCaller> caller;
    std::thread thread{ [&] {
      caller.emplace(aRequest);
      (void)::eventfd_write(mCallEnded, 1);
    } };
    mLoop.run();
    thread.join();
    return *caller;
  }
  void runFor(Duration aDuration)
  {
    mLoop.after(aDuration, [this] { mLoop.stop(); });
    mLoop.run();
  }
  /// \returns a configuration with one route, whose requests reach one target at the most.
  static std::string plan(const std::string& aKind)
  {
    return R"({"version":"r1","routes":[{"name":"r1","host":"shop","pathPrefix":"/a/","kind":")" +
           aKind +
           R"(","timeoutMs":3000,"service":"s","maxAttempts":1}],)"
           R"("services":[{"name":"s"}],"limits":{}})";
  }
  static std::string atMostOncePlan() { return plan("non_idempotent"); }
  static std::string request(const std::string& aMethod,
                             const std::string& aVersion = "HTTP/1.1",
                             const std::string& aHeaders = "")
  {
    return aMethod + " /a/x " + aVersion +
           "\r\nHost: shop\r\nX-Request-Id: id-1\r\nX-Request-Timeout-Ms: 3000\r\n" + aHeaders +
           "\r\n";
  }
  const Proxy& proxy() const { return *mProxy; }

private:
  EventLoop mLoop;
  int mCallEnded = ::eventfd(0, EFD_NONBLOCK);
  EventLoopHost mHost;
  std::unique_ptr<SteeringState> mState;
  std::unique_ptr<Proxy> mProxy;
  HttpServer mServer;
};

} // namespace bulrushrun
