#include "bulrushrun/net.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bulrushrun {
namespace {

/// Listener whose queue is full, so that further connections hang.
class FullListener
{
public:
  FullListener()
  {
    mAddress.sin_family = AF_INET;
    mAddress.sin_addr.s_addr = htonl(0x7f000001);
    socklen_t size = sizeof(mAddress);
    mListener = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(::bind(mListener, address(), size), 0);
    EXPECT_EQ(::listen(mListener, 0), 0);
    EXPECT_EQ(::getsockname(mListener, address(), &size), 0);
    for (int& filler : mFillers) {
      filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)::connect(filler, address(), size);
    }
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;
  ~FullListener()
  {
    for (const int filler : mFillers) {
      ::close(filler);
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
  std::array<int, 4> mFillers{};
};

/// Story: a connection that never comes about.
TEST(AConnection, ThatHangsCountsAsNotSent)
{
  const FullListener full;
  EventLoop loop;
  HttpClient client{ loop };
  std::optional<ExchangeResult> end;
  ExchangeListener listener;
  listener.mOnEnd = [&](ExchangeResult aEnd, const std::string&) {
    end = aEnd;
    loop.stop();
  };
  client.start(
    full.endpoint(), { "POST", "/", {}, "x" }, ConnectionUse::RecentlyVerified, listener);
  loop.run();
  EXPECT_EQ(end, ExchangeResult::NotSent);
  loop.after(Duration{ 0 }, [&] { loop.stop(); });
  loop.run();
}

} // namespace
} // namespace bulrushrun
