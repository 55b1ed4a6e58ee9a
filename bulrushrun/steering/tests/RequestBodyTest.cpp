#include "bulrushrun/net/tests/BodyCountingServer.h"
#include "bulrushrun/net/tests/PeakMemory.h"
#include "bulrushrun/steering/tests/SocketProxyFixture.h"

#include <netinet/in.h>

namespace bulrushrun {
namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

/// A caller that sends a body of any size without holding it.
class UploadingCaller
{
public:
  explicit UploadingCaller(std::size_t aBodyBytes)
    : mBodyBytes(aBodyBytes)
    , mConnection(::socket(AF_INET, SOCK_STREAM, 0))
  {
    constexpr int kTimeoutSeconds = 10;
    const timeval timeout{ kTimeoutSeconds, 0 };
    ::setsockopt(mConnection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(mConnection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const sockaddr_in address = socketAddress(kServer);
    (void)::connect(mConnection, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    sendAll("POST /a/x HTTP/1.1\r\nHost: shop\r\nX-Request-Id: id-1\r\n"
            "X-Request-Timeout-Ms: 3000\r\nContent-Length: " +
            std::to_string(aBodyBytes) + "\r\n\r\n");
  }
  UploadingCaller(const UploadingCaller&) = delete;
  UploadingCaller& operator=(const UploadingCaller&) = delete;
  ~UploadingCaller() { ::close(mConnection); }

  /// Sends the next bytes of the body, which differ from one position to another.
  void sendBody(std::size_t aBytes)
  {
    std::string part(std::size_t{ 64 } * 1024, '\0');
    while (aBytes > 0) {
      for (std::size_t i = 0; i < part.size(); ++i) {
        part[i] = static_cast<char>(((mSentBytes + i) * 2654435761U) >> 16U);
      }
      const std::string_view bytes = std::string_view{ part }.substr(0, aBytes);
      if (!sendAll(bytes)) {
        return;
      }
      mHash.add(bytes);
      mSentBytes += bytes.size();
      aBytes -= bytes.size();
    }
  }
  /// \returns what the instance sent.
  std::string receive() const
  {
    std::string bytes(4096, '\0');
    const ssize_t size = ::recv(mConnection, bytes.data(), bytes.size(), 0);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return bytes;
  }
  /// Sends the whole body. \returns true when the target reports the size and hash of this body
  bool upload()
  {
    sendBody(mBodyBytes);
    const std::string response = receive();
    return response.starts_with("HTTP/1.1 200") &&
           response.ends_with("\r\n" + std::to_string(mBodyBytes) + " " +
                              std::to_string(mHash.value()));
  }

private:
  bool sendAll(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const ssize_t sent = ::send(mConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  std::size_t mBodyBytes;
  int mConnection;
  std::size_t mSentBytes = 0;
  ByteHash mHash;
};

class RequestBodyTest : public SocketProxyFixture
{
protected:
  RequestBodyTest() { resetProxy(atMostOncePlan()); }

  /// Sends this many bodies at once. \returns how many of them arrived whole at the target
  int uploadAtOnce(int aCallers, std::size_t aBodyBytes)
  {
    std::atomic<int> whole = 0;
    runWith([&] {
      std::vector<std::thread> callers;
      for (int i = 0; i < aCallers; ++i) {
        callers.emplace_back([&] { whole += UploadingCaller{ aBodyBytes }.upload() ? 1 : 0; });
      }
      for (std::thread& caller : callers) {
        caller.join();
      }
    });
    return whole;
  }

  BodyCountingServer mTarget;
};

/// Guards against several copies of one body. While its buffer grows, the old one, of half the
/// size, is held for a moment, too.
TEST_F(RequestBodyTest, IsHeldOnce)
{
  for (const std::size_t size : { kMebibyte, 8 * kMebibyte, 30 * kMebibyte }) {
    limitInput({ SIZE_MAX, 64 * kMebibyte });
    setBodyLimit(64 * kMebibyte);
    const PeakMemory memory;
    EXPECT_EQ(uploadAtOnce(1, size), 1);
    EXPECT_LT(memory.growth(), 2 * size + 4 * kMebibyte) << size;
  }
}

/// Guards against the sum of all bodies: each is allowed, but not all fit into the memory at once.
TEST_F(RequestBodyTest, ManyAtOnceStayWithinTheBudget)
{
  setBodyLimit(8 * kMebibyte);
  limitInput({ 24 * kMebibyte, 8 * kMebibyte });
  EXPECT_EQ(uploadAtOnce(20, kMebibyte), 20) << "takes the memory of the threads";
  const PeakMemory memory;
  EXPECT_EQ(uploadAtOnce(20, 8 * kMebibyte), 20) << "all are served, some of them later";
  // The budget, one body, its buffer while that grows, and what one look at 20 connections brings:
  // twice their receive buffer of 256 KiB each.
  EXPECT_LT(memory.growth(), (24 + 8 + 8 + 10 + 4) * kMebibyte);
}

/// Guards against small requests that wait behind large ones.
TEST_F(RequestBodyTest, SmallRequestsGoOnWhileLargeOnesWait)
{
  setBodyLimit(8 * kMebibyte);
  const InputThrottle& throttle = limitInput({ 2 * kMebibyte, 8 * kMebibyte });
  runWith([&] {
    UploadingCaller first{ 8 * kMebibyte };
    UploadingCaller second{ 8 * kMebibyte };
    first.sendBody(6 * kMebibyte);
    std::thread waiting{ [&] { second.sendBody(8 * kMebibyte); } };
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_TRUE(UploadingCaller{ 1000 }.upload());
    first.sendBody(2 * kMebibyte);
    EXPECT_TRUE(first.receive().starts_with("HTTP/1.1 200"));
    waiting.join();
    EXPECT_TRUE(second.receive().starts_with("HTTP/1.1 200"));
  });
  EXPECT_EQ(throttle.pausedConnections(), 0U);
}

/// Guards against large requests that wait for each other, beside small ones that never end.
TEST_F(RequestBodyTest, IncompleteOnesDoNotBlockEachOther)
{
  constexpr std::size_t kSmall = std::size_t{ 32 } * 1024;
  constexpr std::size_t kLarge = std::size_t{ 200 } * 1024;
  setBodyLimit(8 * kMebibyte);
  limitInput({ kMebibyte, 8 * kMebibyte });
  runWith([&] {
    std::vector<std::unique_ptr<UploadingCaller>> callers;
    for (int i = 0; i < 40; ++i) {
      callers.push_back(std::make_unique<UploadingCaller>(kLarge));
      callers.back()->sendBody(i < 10 ? kSmall : kLarge / 2);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (int i = 10; i < 40; ++i) {
      callers[i]->sendBody(kLarge / 2);
    }
    for (int i = 10; i < 40; ++i) {
      EXPECT_TRUE(callers[i]->receive().starts_with("HTTP/1.1 200")) << i;
    }
  });
}

/// Guards against a body in chunks that is lent with a part of its framing.
TEST_F(RequestBodyTest, ChunkedOneArrivesWhole)
{
  setBodyLimit(8 * kMebibyte);
  ByteHash hash;
  std::string request = "POST /a/x HTTP/1.1\r\nHost: shop\r\nX-Request-Id: id-1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 300; ++i) {
    const std::string chunk(4096, static_cast<char>('a' + i % 26));
    request += "1000\r\n" + chunk + "\r\n";
    hash.add(chunk);
  }
  const RawCaller caller = call(request + "0\r\n\r\n");
  EXPECT_EQ(caller.status(), 200);
  EXPECT_EQ(caller.body(), std::to_string(300 * 4096) + " " + std::to_string(hash.value()));
}

/// Guards against callers that stop in the middle of their bodies and so keep all others waiting,
/// and against a use of their connections after they have closed them.
TEST_F(RequestBodyTest, CallersThatLeaveMakeRoom)
{
  setBodyLimit(8 * kMebibyte);
  const InputThrottle& throttle = limitInput({ 2 * kMebibyte, 8 * kMebibyte });
  runWith([&] {
    {
      UploadingCaller first{ 8 * kMebibyte };
      UploadingCaller second{ 8 * kMebibyte };
      first.sendBody(3 * kMebibyte);
      second.sendBody(kMebibyte);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(UploadingCaller{ 8 * kMebibyte }.upload());
  });
  EXPECT_LE(throttle.pausedConnections(), 1U) << "one that left is not read, so not noticed";
}

/// Guards against a caller that stops in the middle of its body and holds that for ever.
TEST_F(RequestBodyTest, CallerThatStopsIsGivenUp)
{
  setBodyLimit(8 * kMebibyte, std::chrono::seconds(1));
  const InputThrottle& throttle = limitInput({ 24 * kMebibyte, 8 * kMebibyte });
  std::string received = "nothing";
  TimePoint start;
  runWith([&] {
    UploadingCaller caller{ 8 * kMebibyte };
    caller.sendBody(4 * kMebibyte);
    start = EventLoop::now();
    received = caller.receive();
  });
  EXPECT_LT(EventLoop::now() - start, std::chrono::seconds(4));
  EXPECT_EQ(received, "") << "the connection is closed";
  runFor(std::chrono::milliseconds(50));
  EXPECT_EQ(throttle.heldBytes(), 0U);
}

/// Guards against the use of a body after the connection that lent it.
TEST_F(RequestBodyTest, CallerMayLeaveWhileItsBodyIsSent)
{
  setBodyLimit(8 * kMebibyte);
  limitInput({ 24 * kMebibyte, 8 * kMebibyte });
  mTarget.mStalled = true;
  for (int i = 0; i < 3; ++i) {
    runWith([&] {
      UploadingCaller caller{ 8 * kMebibyte };
      caller.sendBody(8 * kMebibyte);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    });
    sweepProxy();
    runFor(std::chrono::milliseconds(20));
    EXPECT_EQ(proxy().requestsInProgress(), 0U);
  }
  mTarget.mStalled = false;
  EXPECT_EQ(uploadAtOnce(1, 8 * kMebibyte), 1);
}

/// Guards against a body that is gone when the request is sent again.
TEST_F(RequestBodyTest, IsSentWholeAgainAfterAReset)
{
  setBodyLimit(8 * kMebibyte);
  resetProxy(plan("safe", 2));
  addTarget("t2");
  mTarget.mResets = 1;
  EXPECT_EQ(uploadAtOnce(1, 8 * kMebibyte), 1);
  EXPECT_EQ(mTarget.mResets, 0);
}

} // namespace
} // namespace bulrushrun
