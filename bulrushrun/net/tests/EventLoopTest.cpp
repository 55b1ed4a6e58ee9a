#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

/// Story: timers use sockets that h2o's loop still has to report on. CTest runs it with freed
/// memory overwritten.
struct ATimer : testing::Test
{
  ExchangeId start()
  {
    ExchangeListener listener;
    listener.mOnEnd = [this](ExchangeResult aEnd, const std::string&) {
      mEnd = aEnd;
      mLoop.stop();
    };
    return mClient.start(kServer, { "GET", "/", {}, {} }, ConnectionUse::Pooled, listener);
  }

  EventLoop mLoop;
  HttpServer mServer{ mLoop, kServer, { nullptr, [](const HttpRequest&, const auto& aResponder) {
                                         respond(*aResponder, { {}, "answer" });
                                       } } };
  HttpClient mClient{ mLoop };
  std::optional<ExchangeResult> mEnd;
};

TEST_F(ATimer, MayAbortWhatItHasJustSentOnAPooledConnection)
{
  for (int round = 0; round < 3; ++round) {
    mEnd.reset();
    start();
    mLoop.run();
    ASSERT_EQ(mEnd, ExchangeResult::Complete);
    mLoop.after(Duration{ 0 }, [this] {
      mClient.abort(start());
      // A second round of the loop comes behind the one that frees the socket.
      mLoop.after(std::chrono::milliseconds(1), [this] { mLoop.stop(); });
    });
    mLoop.run();
  }
}

} // namespace
} // namespace bulrushrun
