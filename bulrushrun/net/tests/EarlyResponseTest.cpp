#include "bulrushrun/net/tests/StrayResponseFixture.h"

#include <netinet/in.h>

#include <csignal>

namespace bulrushrun {
namespace {

/// How much of the request the server takes before it ends the connection.
enum class Upload
{
  /// Nothing, so that the client is blocked in the middle of the body.
  HeldBack,
  /// Parts, so that the client goes on writing up to the end.
  Streamed,
  /// Nothing, but the client's kernel has taken the whole body.
  InFlight,
  /// Nothing, but the server's kernel has received the whole body.
  Received,
};

/// What the client does between the last bytes of the response and the end of the connection.
enum class Client
{
  ReadsTheResponse,
  /// Finds the response and the end at once.
  IsBusy,
};

struct Scenario
{
  Upload mUpload;
  Client mClient;
  const char* mName;
};

constexpr Scenario kScenarios[] = {
  { Upload::HeldBack, Client::ReadsTheResponse, "held back, the response is read" },
  { Upload::HeldBack, Client::IsBusy, "held back, response and end at once" },
  { Upload::Streamed, Client::ReadsTheResponse, "streamed, the response is read" },
  { Upload::Streamed, Client::IsBusy, "streamed, response and end at once" },
  { Upload::InFlight, Client::ReadsTheResponse, "in flight, the response is read" },
  { Upload::InFlight, Client::IsBusy, "in flight, response and end at once" },
  { Upload::Received, Client::ReadsTheResponse, "received, the response is read" },
  { Upload::Received, Client::IsBusy, "received, response and end at once" },
};

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";

/// A server that responds before it has read the request, and then ends the connection.
class EarlyResponseTest : public StrayResponseTest
{
protected:
  EarlyResponseTest()
  {
    // As the daemon does.
    std::signal(SIGPIPE, SIG_IGN);
  }

  /// More than the buffers of both kernels take.
  static constexpr std::size_t kLongBodyBytes = std::size_t{ 32 } * 1024 * 1024;
  static constexpr std::size_t kShortBodyBytes = std::size_t{ 64 } * 1024;
  /// Buffers of the server's kernel that take a short body, and that don't.
  static constexpr int kLargeBufferBytes = 256 * 1024;
  static constexpr int kSmallBufferBytes = 4 * 1024;
  static constexpr std::size_t kStreamedBytes = std::size_t{ 4 } * 1024 * 1024;

  std::shared_ptr<ObservedExchange> startUpload(Upload aUpload)
  {
    mClient = std::make_unique<HttpClient>(mLoop);
    const int bufferBytes = aUpload == Upload::InFlight ? kSmallBufferBytes : kLargeBufferBytes;
    ::setsockopt(mListener, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
    const bool isShort = aUpload == Upload::InFlight || aUpload == Upload::Received;
    const std::size_t size = isShort ? kShortBodyBytes : kLongBodyBytes;
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
  void respond(const ObservedExchange& aExchange,
               const Scenario& aScenario,
               const std::string& aBytes)
  {
    ASSERT_EQ(::send(mServerSide, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aBytes.size()));
    if (aScenario.mClient == Client::ReadsTheResponse) {
      const std::size_t headEnd = aBytes.find("\r\n\r\n");
      const std::size_t bodyBytes =
        headEnd == std::string::npos ? 0 : aBytes.size() - headEnd - std::string("\r\n\r\n").size();
      EXPECT_TRUE(runUntil([&] { return aExchange.mBody.size() == bodyBytes; }));
    }
    if (aScenario.mUpload == Upload::Streamed) {
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
    for (const Scenario& scenario : kScenarios) {
      SCOPED_TRACE(scenario.mName);
      const std::shared_ptr<ObservedExchange> exchange = startUpload(scenario.mUpload);
      respond(*exchange, scenario, aBytes);
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
  for (const Scenario& scenario : kScenarios) {
    SCOPED_TRACE(scenario.mName);
    const std::shared_ptr<ObservedExchange> exchange = startUpload(scenario.mUpload);
    respond(*exchange, scenario, response("1", "whole"));
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
  respond(*exchange, kScenarios[0], kUnframedHead + "part");
  ASSERT_TRUE(hasEnded(*exchange));
  EXPECT_EQ(exchange->mResult, ExchangeResult::Interrupted);
}

/// A server that closes its side in an orderly way while the request is still on its way.
class HalfClosedEarlyResponseTest : public EarlyResponseTest
{
protected:
  std::shared_ptr<ObservedExchange> startAndHalfClose(const Scenario& aScenario)
  {
    const std::shared_ptr<ObservedExchange> exchange = startUpload(aScenario.mUpload);
    respond(*exchange, aScenario, kUnframedHead + "body");
    ::shutdown(mServerSide, SHUT_WR);
    runFor(std::chrono::milliseconds(20));
    return exchange;
  }
};

/// Guards against losing a response without a length whose server goes on taking the request.
TEST_F(HalfClosedEarlyResponseTest, IsWholeOnceTheRequestIsReceived)
{
  for (const Scenario& scenario : kScenarios) {
    SCOPED_TRACE(scenario.mName);
    const std::shared_ptr<ObservedExchange> exchange = startAndHalfClose(scenario);
    EXPECT_TRUE(runUntil([&] {
      drainUpload();
      return exchange->mResult.has_value();
    }));
    EXPECT_EQ(exchange->mResult, ExchangeResult::Complete);
    EXPECT_EQ(exchange->mBody, "body");
    EXPECT_TRUE(isClosed()) << "no other request may follow on the connection";
  }
}

/// Guards against taking a part of a body for the whole when the server's process ends: its kernel
/// closes the connection first, and resets it when the next bytes of the request arrive.
TEST_F(HalfClosedEarlyResponseTest, IsInterruptedByAResetBeforeThat)
{
  for (const Scenario& scenario : kScenarios) {
    if (scenario.mUpload == Upload::Received) {
      continue;
    }
    SCOPED_TRACE(scenario.mName);
    const std::shared_ptr<ObservedExchange> exchange = startAndHalfClose(scenario);
    EXPECT_FALSE(exchange->mResult.has_value());
    reset();
    ASSERT_TRUE(hasEnded(*exchange));
    EXPECT_EQ(exchange->mResult, ExchangeResult::Interrupted);
  }
}

/// Guards against waiting until the deadline for a server that takes no more of the request.
TEST_F(HalfClosedEarlyResponseTest, IsInterruptedWhenTheServerTakesNoMore)
{
  for (const Upload upload : { Upload::HeldBack, Upload::InFlight }) {
    const std::shared_ptr<ObservedExchange> exchange =
      startAndHalfClose({ upload, Client::ReadsTheResponse, "" });
    ASSERT_TRUE(hasEnded(*exchange));
    EXPECT_EQ(exchange->mResult, ExchangeResult::Interrupted);
  }
}

} // namespace
} // namespace bulrushrun
