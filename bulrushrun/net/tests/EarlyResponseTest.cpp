#include "bulrushrun/net/tests/StrayResponseFixture.h"

#include <netinet/in.h>

namespace bulrushrun {
namespace {

/// How much of the request the server takes before it ends the connection.
enum class Upload
{
  /// Nothing, so that the client is blocked in the middle of the body.
  HeldBack,
  /// Parts, so that the client goes on writing up to the end.
  Streamed,
  /// Nothing, but the kernel has taken the whole body from the client.
  Written,
};

/// What the client does between the last bytes of the response and the end of the connection.
enum class Client
{
  ReadsTheResponse,
  /// Finds the response and the end at once.
  IsBusy,
};

struct Case
{
  Upload mUpload;
  Client mClient;
  const char* mName;
};

constexpr Case kCases[] = {
  { Upload::HeldBack, Client::ReadsTheResponse, "held back, the response is read" },
  { Upload::HeldBack, Client::IsBusy, "held back, response and end at once" },
  { Upload::Streamed, Client::ReadsTheResponse, "streamed, the response is read" },
  { Upload::Streamed, Client::IsBusy, "streamed, response and end at once" },
  { Upload::Written, Client::ReadsTheResponse, "written, the response is read" },
  { Upload::Written, Client::IsBusy, "written, response and end at once" },
};

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";

/// A server that responds before it has read the request, and then ends the connection.
class EarlyResponseTest : public StrayResponseTest
{
protected:
  /// More than the buffers of both kernels take.
  static constexpr std::size_t kLongBodyBytes = std::size_t{ 32 } * 1024 * 1024;
  static constexpr std::size_t kShortBodyBytes = std::size_t{ 64 } * 1024;
  static constexpr std::size_t kStreamedBytes = std::size_t{ 4 } * 1024 * 1024;

  std::shared_ptr<ObservedExchange> startUpload(Upload aUpload)
  {
    mClient = std::make_unique<HttpClient>(mLoop);
    const std::size_t size = aUpload == Upload::Written ? kShortBodyBytes : kLongBodyBytes;
    const std::shared_ptr<ObservedExchange> exchange =
      start("", { "POST", "/", {}, std::string(size, 'u') });
    acceptConnection();
    if (aUpload == Upload::Streamed) {
      readUpload(kStreamedBytes);
    }
    // The client writes until the kernel takes no more.
    runFor(std::chrono::milliseconds(5));
    return exchange;
  }
  void respond(const ObservedExchange& aExchange, const Case& aCase, const std::string& aBytes)
  {
    ASSERT_EQ(::send(mServerSide, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aBytes.size()));
    if (aCase.mClient == Client::ReadsTheResponse) {
      const std::size_t headEnd = aBytes.find("\r\n\r\n");
      const std::size_t bodyBytes =
        headEnd == std::string::npos ? 0 : aBytes.size() - headEnd - std::string("\r\n\r\n").size();
      EXPECT_TRUE(runUntil([&] { return aExchange.mBody.size() == bodyBytes; }));
    }
    if (aCase.mUpload == Upload::Streamed) {
      // Makes the client's socket writable again.
      drainUpload();
    }
  }
  void reset()
  {
    const linger resetOnClose{ 1, 0 };
    ::setsockopt(mServerSide, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    ::close(std::exchange(mServerSide, -1));
  }
  void readUpload(std::size_t aBytes)
  {
    std::size_t taken = 0;
    ASSERT_TRUE(runUntil([&] {
      taken += drainUpload();
      return taken >= aBytes;
    }));
  }
  /// Takes what has arrived of the request, without running the client.
  std::size_t drainUpload() const
  {
    std::string part(kShortBodyBytes, '\0');
    std::size_t taken = 0;
    ssize_t size = 0;
    while ((size = ::recv(mServerSide, part.data(), part.size(), MSG_DONTWAIT)) > 0) {
      taken += static_cast<std::size_t>(size);
    }
    return taken;
  }
};

class ResetEarlyResponseTest : public EarlyResponseTest
{
protected:
  void expectInterrupted(const std::string& aBytes)
  {
    for (const Case& kase : kCases) {
      SCOPED_TRACE(kase.mName);
      const std::shared_ptr<ObservedExchange> exchange = startUpload(kase.mUpload);
      respond(*exchange, kase, aBytes);
      reset();
      ASSERT_TRUE(hasEnded(*exchange));
      EXPECT_EQ(exchange->mResult, ExchangeResult::Interrupted)
        << exchange->mBody.size() << " bytes of the body as the whole";
    }
  }
};

/// Guards against taking a reset for the end of a body without a length: the error of the
/// connection is reported to the first call, and when that is the write of the request, the next
/// read reports an orderly end.
TEST_F(ResetEarlyResponseTest, DoesNotEndABodyWithoutALength)
{
  for (const std::size_t bodyBytes :
       { std::size_t{ 0 }, std::size_t{ 1 }, std::size_t{ 30'000 } }) {
    SCOPED_TRACE(bodyBytes);
    expectInterrupted(kUnframedHead + std::string(bodyBytes, 'r'));
    expectInterrupted("HTTP/1.0 200 OK\r\n\r\n" + std::string(bodyBytes, 'r'));
  }
}

/// Guards against the same for a response whose framing shows that it is not whole.
TEST_F(ResetEarlyResponseTest, DoesNotEndAnyOtherPartOfAResponse)
{
  for (const char* bytes : { "HTTP/1.1 200 OK\r\nX-Id",
                             "HTTP/1.1 103 Early Hints\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" }) {
    SCOPED_TRACE(bytes);
    expectInterrupted(bytes);
  }
}

/// Guards against losing a response that is whole before the reset.
TEST_F(ResetEarlyResponseTest, LeavesAFramedResponseWhole)
{
  for (const Case& kase : kCases) {
    SCOPED_TRACE(kase.mName);
    const std::shared_ptr<ObservedExchange> exchange = startUpload(kase.mUpload);
    respond(*exchange, kase, response("1", "whole"));
    reset();
    ASSERT_TRUE(hasEnded(*exchange));
    EXPECT_EQ(exchange->mResult, ExchangeResult::Complete);
    EXPECT_EQ(exchange->mBody, "whole");
  }
}

/// Guards against the same after an error of this side: the kernel gives up a connection whose peer
/// takes nothing (TCP_USER_TIMEOUT).
TEST_F(EarlyResponseTest, TimeoutOfTheConnectionDoesNotEndABodyWithoutALength)
{
  const std::shared_ptr<ObservedExchange> exchange = startUpload(Upload::HeldBack);
  respond(*exchange, kCases[0], kUnframedHead + "part");
  ASSERT_TRUE(hasEnded(*exchange));
  EXPECT_EQ(exchange->mResult, ExchangeResult::Interrupted);
}

/// Guards against losing a response without a length whose server closes its side in an orderly way
/// while it still takes the request.
TEST_F(EarlyResponseTest, OrderlyEndEndsABodyWithoutALength)
{
  for (const Case& kase : kCases) {
    SCOPED_TRACE(kase.mName);
    const std::shared_ptr<ObservedExchange> exchange = startUpload(kase.mUpload);
    respond(*exchange, kase, kUnframedHead + "whole");
    ::shutdown(mServerSide, SHUT_WR);
    ASSERT_TRUE(hasEnded(*exchange));
    EXPECT_EQ(exchange->mResult, ExchangeResult::Complete);
    EXPECT_EQ(exchange->mBody, "whole");
    EXPECT_TRUE(runUntil([&] {
      drainUpload();
      return isClosedByPeer(mServerSide);
    }))
      << "the rest of the request must not precede another one";
  }
}

} // namespace
} // namespace bulrushrun
