#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

/// Guards against a use after free inside h2o: a timer writes to a socket and closes it before h2o
/// has delivered the socket's pending events. CTest runs the test with freed memory overwritten.
struct EventLoopTimerTest : testing::Test
{
  ExchangeId start()
  {
    ExchangeListener listener;
    listener.mOnEnd = [this](ExchangeResult aResult, const std::string&) {
      mResult = aResult;
      mLoop.stop();
    };
    return mClient.start(kServer, { "GET", "/", {}, {} }, ConnectionUse::Pooled, listener);
  }

  EventLoop mLoop;
  HttpServer mServer{ mLoop, kServer, { nullptr, [](const HttpRequest&, const auto& aResponder) {
                                         respond(*aResponder, { {}, "answer" });
                                       } } };
  HttpClient mClient{ mLoop };
  std::optional<ExchangeResult> mResult;
};

TEST_F(EventLoopTimerTest, MayAbortAnExchangeJustStartedOnAPooledConnection)
{
  for (int round = 0; round < 3; ++round) {
    mResult.reset();
    start();
    mLoop.run();
    ASSERT_EQ(mResult, ExchangeResult::Complete);
    mLoop.after(Duration{ 0 }, [this] {
      mClient.abort(start());
      // Runs one more iteration of the loop after the one that frees the socket.
      mLoop.after(std::chrono::milliseconds(1), [this] { mLoop.stop(); });
    });
    mLoop.run();
  }
}

} // namespace
} // namespace bulrushrun
