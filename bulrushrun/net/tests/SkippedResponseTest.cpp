#include "bulrushrun/net/tests/StrayResponseFixture.h"

namespace bulrushrun {
namespace {

class SkippedResponseTest : public StrayResponseTest
{};

// After a skipped response, the own one must be read with its own framing, however both are sent.
TEST_F(SkippedResponseTest, OwnResponseIsReadWithItsOwnFraming)
{
  const std::vector<std::string> strays{
    response("1", "stray"),
    response("1", ""),
    chunkedResponse("1", "stray"),
    "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\ndeclined",
    "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n" + response("1", "stray")
  };
  const std::vector<std::string> own{ response("2", "second"),
                                      chunkedResponse("2", "second"),
                                      "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nsecond" };
  for (const std::string& stray : strays) {
    for (const std::string& ownResponse : own) {
      for (const bool byByte : { false, true }) {
        SCOPED_TRACE(stray + " | " + ownResponse + (byByte ? " byte by byte" : ""));
        const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
        const std::string bytes = stray + ownResponse;
        for (std::size_t at = 0; at < bytes.size(); at += byByte ? 1 : bytes.size()) {
          write(std::string_view{ bytes }.substr(at, byByte ? 1 : bytes.size()));
        }
        if (ownResponse == own.back()) {
          ::shutdown(mServerSide, SHUT_WR);
        }
        ASSERT_TRUE(hasEnded(*second));
        EXPECT_EQ(second->mResult, ExchangeResult::Complete) << second->mReason;
        EXPECT_EQ(second->mBody, "second");
        EXPECT_TRUE(isClosed()) << "the server is faulty";
      }
    }
  }
}

// A stray response without a length would swallow the own one.
TEST_F(SkippedResponseTest, StrayResponseWithoutALengthEndsTheExchangeAtOnce)
{
  const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
  write("HTTP/1.1 503 Service Unavailable\r\n\r\ndeclined");
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
  EXPECT_TRUE(isClosed());
}

// Whether a repeated response has a body depends on the request, which may have been a HEAD.
TEST_F(SkippedResponseTest, StrayResponseAfterAHeadRequestEndsTheExchange)
{
  keepConnection("HEAD");
  const std::shared_ptr<ObservedExchange> second = start("2");
  receiveRequest();
  write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n");
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
  EXPECT_TRUE(isClosed());
}

// A server that repeats itself without end must not occupy the instance.
TEST_F(SkippedResponseTest, NumberOfSkippedResponsesIsBounded)
{
  for (const std::string& stray :
       { response("1", "stray"), std::string{ "HTTP/1.1 100 Continue\r\n\r\n" } }) {
    SCOPED_TRACE(stray);
    const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
    for (int i = 0; i < 100; ++i) {
      write(stray);
    }
    ASSERT_TRUE(hasEnded(*second));
    EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
    EXPECT_TRUE(isClosed());
  }
}

// The same for one response that never ends.
TEST_F(SkippedResponseTest, BytesOfSkippedResponsesAreBounded)
{
  const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
  write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1000000000\r\n\r\n");
  const std::string part(64 * 1024, 'x');
  for (int i = 0; i < 64 && !second->mResult; ++i) {
    write(part);
  }
  ASSERT_TRUE(second->mResult.has_value());
  EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
  EXPECT_TRUE(isClosed());
}

// The bytes after a protocol switch are no HTTP; the request must not wait for its deadline.
TEST_F(SkippedResponseTest, ProtocolSwitchEndsTheExchange)
{
  const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
  write("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" +
        response("2", "second"));
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
}

// An idle timeout page that crosses the next request is not its response.
TEST_F(SkippedResponseTest, IdleTimeoutPageIsSkipped)
{
  const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
  write("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 4\r\n\r\nidle");
  ::shutdown(mServerSide, SHUT_WR);
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
  EXPECT_EQ(second->mHead.mHeaders.size(), 0U) << "its head must not reach the listener";
}

// A server may write before it reads; on a new connection, too, that is no response to a request.
TEST_F(SkippedResponseTest, ResponseWithoutARequestOnANewConnectionIsSkipped)
{
  const std::shared_ptr<ObservedExchange> first = start("1");
  acceptConnection();
  write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  runFor(std::chrono::milliseconds(20));
  EXPECT_FALSE(first->mResult);
  write(response("1", "first"));
  ASSERT_TRUE(hasEnded(*first));
  EXPECT_EQ(first->mBody, "first");
  EXPECT_TRUE(isClosed());
}

} // namespace
} // namespace bulrushrun
