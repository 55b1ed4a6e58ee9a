#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

#include <array>

namespace bulrushrun {
namespace {

/// Server that responds to the first request of each connection and resets the connection when the
/// second one arrives.
class ResettingServer
{
public:
  static constexpr int kConnections = 3;

  ResettingServer()
    : mListener(openListener(kPeer))
    , mThread([this] { serve(); })
  {
  }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;
  ~ResettingServer()
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
      const std::string response = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n"
                                   "Content-Length: 0\r\n\r\n";
      std::array<char, 4096> request{};
      (void)::recv(connection, request.data(), request.size(), 0);
      (void)::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
      (void)::recv(connection, request.data(), request.size(), 0);
      const linger resetOnClose{ 1, 0 };
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
      ::close(connection);
    }
  }

  int mListener;
  std::thread mThread;
};

/// Guards against repeated failures on stale connections: the server drops idle connections long
/// before the idle timeout that it stated. After the first failure, the client must not reuse a
/// connection that was idle for as long.
struct StaleConnectionTest : testing::Test
{
  static constexpr Duration kIdle = std::chrono::milliseconds(200);

  ExchangeResult exchange()
  {
    std::optional<ExchangeResult> result;
    ExchangeListener listener;
    listener.mOnEnd = [&](ExchangeResult aResult, const std::string&) {
      result = aResult;
      mLoop.stop();
    };
    mClient->start(kPeer, { "GET", "/", {}, {} }, ConnectionUse::Pooled, listener);
    mLoop.run();
    return *result;
  }
  void idle()
  {
    mLoop.after(kIdle, [this] { mLoop.stop(); });
    mLoop.run();
  }

  EventLoop mLoop;
  std::unique_ptr<HttpClient> mClient = std::make_unique<HttpClient>(mLoop);
};

TEST_F(StaleConnectionTest, ShortensTheIdleTimeoutAfterAStaleConnection)
{
  const ResettingServer server;
  ASSERT_EQ(exchange(), ExchangeResult::Complete);
  idle();
  ASSERT_EQ(exchange(), ExchangeResult::Interrupted)
    << "the client can't know yet that the connection is stale";
  ASSERT_EQ(exchange(), ExchangeResult::Complete);
  idle();
  EXPECT_EQ(exchange(), ExchangeResult::Complete) << "the client must open a new connection";
  mClient.reset();
}

} // namespace
} // namespace bulrushrun
