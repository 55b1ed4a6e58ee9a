#pragma once

#include "bulrushrun/net/tests/RawCaller.h"
#include "bulrushrun/steering.h"
#include "platform/Adapter.h"

#include <gtest/gtest.h>

#include <sys/eventfd.h>

#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

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
              { nullptr,
                [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                  mProxy->accept(std::move(aRequest), std::move(aResponder), EventLoop::now());
                },
                true,
                [this](const HttpRequest& aRequest) { return mProxy->mayRunAhead(aRequest); } })
  {
    // As the daemon does.
    std::signal(SIGPIPE, SIG_IGN);
    returnLargeBuffersAtOnce();
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
    if (mProxy != nullptr) {
      mEarlierProxies.push_back({ std::move(mState), std::move(mProxy) });
    }
    mState = std::make_unique<SteeringState>();
    mState->mPlan =
      std::make_shared<const RoutePlan>(*platform::Adapter::parseRoutePlan(aPlan, reason));
    constexpr double kManyRetries = 100;
    mState->mRetryBudgetPolicy.mFreeRetries = kManyRetries;
    addTarget("t1");
    mState->mTargets.setComplete();
    mProxy = std::make_unique<Proxy>(mHost, *mState);
  }
  /// Adds a target at kPeer.
  void addTarget(const std::string& aId)
  {
    TargetEntry target;
    target.mId = TargetId{ aId };
    target.mService = ServiceName{ "s" };
    target.mEndpoint = kPeer;
    target.mSlots = 32;
    mState->mTargets.update(target, EventLoop::now());
  }
  /// Sends one request, and runs the instance until the caller has received the response.
  RawCaller call(const std::string& aRequest)
  {
    std::optional<RawCaller> caller;
    runWith([&] { caller.emplace(aRequest); });
    return *caller;
  }
  /// Runs the instance while another thread runs a function.
  void runWith(const std::function<void()>& aFunction)
  {
    std::thread thread{ [&] {
      aFunction();
      (void)::eventfd_write(mCallEnded, 1);
    } };
    mLoop.run();
    thread.join();
  }
  /// Bounds the bytes of all requests, as the daemon does.
  InputThrottle& limitInput(const InputLimits& aLimits)
  {
    InputThrottle& throttle = mServer.inputThrottle();
    throttle.setLimits(aLimits);
    mLoop.setAfterEvents([&throttle] { throttle.update(); });
    return throttle;
  }
  void runFor(Duration aDuration)
  {
    mLoop.after(aDuration, [this] { mLoop.stop(); });
    mLoop.run();
  }
  void setBodyLimit(std::size_t aBytes, Duration aIdle = std::chrono::seconds(10))
  {
    mServer.setLimits(aIdle, aBytes);
  }
  void sweepProxy() { mProxy->sweep(); }
  void setDraining() { mState->mDraining = true; }
  EventLoop& loop() { return mLoop; }
  /// \returns a configuration with one route.
  static std::string plan(const std::string& aKind, int aMaxAttempts = 1)
  {
    return R"({"version":"r1","routes":[{"name":"r1","host":"shop","pathPrefix":"/a/","kind":")" +
           aKind + R"(","timeoutMs":3000,"service":"s","maxAttempts":)" +
           std::to_string(aMaxAttempts) + R"(}],"services":[{"name":"s"}],"limits":{}})";
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
  struct EarlierProxy
  {
    std::unique_ptr<SteeringState> mState;
    std::unique_ptr<Proxy> mProxy;
  };

  EventLoop mLoop;
  int mCallEnded = ::eventfd(0, EFD_NONBLOCK);
  EventLoopHost mHost;
  std::unique_ptr<SteeringState> mState;
  std::unique_ptr<Proxy> mProxy;
  /// Timers of the loop refer to them.
  std::vector<EarlierProxy> mEarlierProxies;
  HttpServer mServer;
};

} // namespace bulrushrun
