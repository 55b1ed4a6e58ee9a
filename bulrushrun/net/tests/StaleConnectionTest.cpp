#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

#include <array>

namespace bulrushrun {
namespace {

/// Server that answers the first request of each connection and resets it at the second one.
class ForgetfulPeer
{
public:
  static constexpr int kConnections = 3;

  ForgetfulPeer()
    : mListener(openListener(kPeer))
    , mThread([this] { serve(); })
  {
  }
  ForgetfulPeer(const ForgetfulPeer&) = delete;
  ForgetfulPeer& operator=(const ForgetfulPeer&) = delete;
  ~ForgetfulPeer()
  {
    mThread.join();
    ::close(mListener);
  }

private:
  void serve() const
  {
    for (int i = 0; i < kConnections; ++i) {
      int connection = -1;
      while ((connection = ::accept(mListener, nullptr, nullptr)) < 0) {
        std::this_thread::yield();
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n"
                                 "Content-Length: 0\r\n\r\n";
      std::array<char, 4096> request{};
      (void)::recv(connection, request.data(), request.size(), 0);
      (void)::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      (void)::recv(connection, request.data(), request.size(), 0);
      const linger atOnce{ 1, 0 };
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
      ::close(connection);
    }
  }

  int mListener;
  std::thread mThread;
};

/// Story: the other end forgets an idle connection long before the time it stated.
struct AnIdleConnection : testing::Test
{
  static constexpr Duration kIdle = std::chrono::milliseconds(200);

  ExchangeResult exchange()
  {
    std::optional<ExchangeResult> end;
    ExchangeListener listener;
    listener.mOnEnd = [&](ExchangeResult aEnd, const std::string&) {
      end = aEnd;
      mLoop.stop();
    };
    mClient->start(kPeer, { "GET", "/", {}, {} }, ConnectionUse::Pooled, listener);
    mLoop.run();
    return *end;
  }
  void idle()
  {
    mLoop.after(kIdle, [this] { mLoop.stop(); });
    mLoop.run();
  }

  EventLoop mLoop;
  std::unique_ptr<HttpClient> mClient = std::make_unique<HttpClient>(mLoop);
};

TEST_F(AnIdleConnection, IsNotTrustedForAsLongOnceOneWasForgotten)
{
  const ForgetfulPeer peer;
  ASSERT_EQ(exchange(), ExchangeResult::Complete);
  idle();
  ASSERT_EQ(exchange(), ExchangeResult::Interrupted) << "nobody could know yet";
  ASSERT_EQ(exchange(), ExchangeResult::Complete);
  idle();
  EXPECT_EQ(exchange(), ExchangeResult::Complete) << "on a new connection";
  mClient.reset();
}

} // namespace
} // namespace bulrushrun
