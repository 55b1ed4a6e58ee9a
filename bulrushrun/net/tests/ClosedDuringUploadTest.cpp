#include "bulrushrun/net/tests/CutAnswerFixture.h"

#include <atomic>
#include <csignal>

namespace bulrushrun {
namespace {

/// Responds at the start of each request, reads a part of it that differs from one to the next, and
/// all that has arrived by then, and closes the connection.
class ClosingServer
{
public:
  ClosingServer()
    : mThread([this] { serve(); })
  {
  }
  ClosingServer(const ClosingServer&) = delete;
  ClosingServer& operator=(const ClosingServer&) = delete;
  ~ClosingServer()
  {
    mStopped = true;
    mThread.join();
  }

  /// \returns the number of requests with such a body that were read to their end.
  int requestsReadWhole() const { return mRequestsReadWhole; }

  std::atomic<std::size_t> mBodyBytes = 0;

private:
  void serve()
  {
    while (!mStopped) {
      const int connection = mListener.accept();
      if (connection >= 0) {
        respond(connection);
        ::close(connection);
      }
    }
  }
  void respond(int aConnection)
  {
    constexpr std::size_t kSteps = 50;
    constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\n\r\npart";
    std::string bytes(std::size_t{ 1024 } * 1024, '\0');
    std::size_t headBytes = 0;
    std::size_t readBytes = 0;
    const auto read = [&](int aFlags) {
      const ssize_t size = ::recv(aConnection, bytes.data(), bytes.size(), aFlags);
      if (size <= 0) {
        return false;
      }
      if (headBytes == 0) {
        headBytes = bytes.find("\r\n\r\n") + 4;
      }
      readBytes += static_cast<std::size_t>(size);
      return true;
    };
    read(0);
    (void)::send(aConnection, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
    const std::size_t wanted = mBodyBytes * (mRequests++ % kSteps) / kSteps;
    while (readBytes < wanted && read(0)) {
    }
    while (read(MSG_DONTWAIT)) {
    }
    mRequestsReadWhole += readBytes == headBytes + mBodyBytes ? 1 : 0;
  }

  std::atomic<bool> mStopped = false;
  std::atomic<int> mRequestsReadWhole = 0;
  std::size_t mRequests = 0;
  PolledListener mListener;
  std::thread mThread;
};

/// Guards against taking a part of a body for the whole when a server's process ends during an
/// upload: its kernel closes the connection in an orderly way if nothing is left to read, and only
/// the next bytes of the request are answered with a reset.
TEST(ClosedDuringUploadTest, ResponseIsWholeOnlyIfTheServerHasReadTheRequest)
{
  // As the daemon does.
  std::signal(SIGPIPE, SIG_IGN);
  constexpr int kUploads = 300;
  constexpr std::size_t kKibibyte = 1024;
  for (const std::size_t bodyBytes : { 300 * kKibibyte, 1024 * kKibibyte, 8192 * kKibibyte }) {
    ClosingServer server;
    server.mBodyBytes = bodyBytes;
    EventLoop loop;
    HttpClient client{ loop };
    int complete = 0;
    for (int i = 0; i < kUploads; ++i) {
      ExchangeListener listener;
      listener.mBodyMayEndAtClose = true;
      listener.mOnEnd = [&](ExchangeResult aResult, const std::string&) {
        complete += aResult == ExchangeResult::Complete ? 1 : 0;
        loop.stop();
      };
      client.start(kPeer,
                   { "POST", "/", {}, std::string(bodyBytes, 'u') },
                   ConnectionUse::New,
                   std::move(listener));
      loop.run();
    }
    EXPECT_EQ(complete, server.requestsReadWhole()) << "uploads of " << bodyBytes << " bytes";
  }
}

} // namespace
} // namespace bulrushrun
