#include "bulrushrun/net.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bulrushrun {
namespace {

/// Listening socket whose backlog is full, so that further connection attempts hang.
class ListenerWithFullBacklog
{
public:
  ListenerWithFullBacklog()
  {
    mAddress.sin_family = AF_INET;
    mAddress.sin_addr.s_addr = htonl(0x7f000001);
    socklen_t size = sizeof(mAddress);
    mListener = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(::bind(mListener, address(), size), 0);
    EXPECT_EQ(::listen(mListener, 0), 0);
    EXPECT_EQ(::getsockname(mListener, address(), &size), 0);
    for (int& connection : mBacklogConnections) {
      connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)::connect(connection, address(), size);
    }
  }
  ListenerWithFullBacklog(const ListenerWithFullBacklog&) = delete;
  ListenerWithFullBacklog& operator=(const ListenerWithFullBacklog&) = delete;
  ~ListenerWithFullBacklog()
  {
    for (const int connection : mBacklogConnections) {
      ::close(connection);
    }
    ::close(mListener);
  }

  Endpoint endpoint() const
  {
    return { ntohl(mAddress.sin_addr.s_addr), ntohs(mAddress.sin_port) };
  }

private:
  sockaddr* address() { return reinterpret_cast<sockaddr*>(&mAddress); }

  sockaddr_in mAddress{};
  int mListener = -1;
  std::array<int, 4> mBacklogConnections{};
};

/// Guards against a request that waits forever for a TCP connection, and against counting it as
/// sent: it must be possible to send it elsewhere.
TEST(ConnectTimeoutTest, ReportsAHangingConnectAsNotSent)
{
  const ListenerWithFullBacklog listener;
  EventLoop loop;
  HttpClient client{ loop };
  std::optional<ExchangeResult> result;
  ExchangeListener exchangeListener;
  exchangeListener.mOnEnd = [&](ExchangeResult aResult, const std::string&) {
    result = aResult;
    loop.stop();
  };
  client.start(listener.endpoint(),
               { "POST", "/", {}, "x" },
               ConnectionUse::RecentlyVerified,
               exchangeListener);
  loop.run();
  EXPECT_EQ(result, ExchangeResult::NotSent);
  loop.after(Duration{ 0 }, [&] { loop.stop(); });
  loop.run();
}

/// Guards against writing a request that was given up while its connection was being established,
/// and against using the connection after the abort.
TEST(BeforeSendTest, ExchangeAbortedThereWritesNothing)
{
  EventLoop loop;
  constexpr Endpoint kServer{ 0x7f000001, 18791 };
  int requests = 0;
  HttpServer server{ loop, kServer, { nullptr, [&](const HttpRequest&, const auto& aResponder) {
                                       ++requests;
                                       respond(*aResponder, { { 200, {}, std::nullopt }, "" });
                                     } } };
  HttpClient client{ loop };
  ExchangeId aborted;
  int ended = 0;
  ExchangeListener listener;
  listener.mOnEnd = [&](ExchangeResult, const std::string&) { ++ended; };
  listener.mBeforeSend = [&] {
    client.abort(aborted);
    return false;
  };
  aborted = client.start(kServer, { "GET", "/", {}, "" }, ConnectionUse::Pooled, listener);
  loop.after(std::chrono::milliseconds(100), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(requests, 0);
  EXPECT_EQ(ended, 0);
  listener.mBeforeSend = [] { return true; };
  client.start(kServer, { "GET", "/", {}, "" }, ConnectionUse::Pooled, listener);
  loop.after(std::chrono::milliseconds(100), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(ended, 1);
}

} // namespace
} // namespace bulrushrun
