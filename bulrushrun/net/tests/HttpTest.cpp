#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

/// Response and result of one exchange.
struct ExchangeRecord
{
  ResponseHead mHead;
  std::string mBody;
  std::optional<ExchangeResult> mResult;
};

/// Sends one request and runs the loop until the exchange has ended.
ExchangeRecord exchange(EventLoop& aLoop,
                        const Endpoint& aEndpoint,
                        const HttpRequest& aRequest,
                        ExchangeListener aListener = {})
{
  HttpClient client{ aLoop };
  ExchangeRecord record;
  ExchangeListener listener = std::move(aListener);
  listener.mOnHead = [&](const ResponseHead& aHead) { record.mHead = aHead; };
  listener.mOnBody = [&](std::string_view aBytes) {
    record.mBody.append(aBytes);
    return true;
  };
  listener.mOnEnd = [&](ExchangeResult aResult, const std::string&) {
    record.mResult = aResult;
    aLoop.stop();
  };
  client.start(aEndpoint, aRequest, ConnectionUse::Pooled, std::move(listener));
  aLoop.run();
  // Lets the client destroy the connections that it has closed.
  aLoop.after(Duration{ 0 }, [&] { aLoop.stop(); });
  aLoop.run();
  return record;
}

/// Sends raw bytes to the server and returns all bytes received.
std::string sendRaw(const std::string& aBytes)
{
  const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kServer.mPort);
  address.sin_addr.s_addr = htonl(kServer.mAddress);
  EXPECT_EQ(::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  (void)::send(connection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  ::shutdown(connection, SHUT_WR);
  std::string response;
  char part[4096];
  for (ssize_t n = 0; (n = ::recv(connection, part, sizeof(part), 0)) > 0;) {
    response.append(part, static_cast<std::size_t>(n));
  }
  ::close(connection);
  return response;
}

/// Guards against reporting a truncated response as a success: a response cut at any byte must be
/// reported as interrupted.
struct ResponseCompletenessTest : testing::Test
{
  void checkTruncations(const std::string& aResponse)
  {
    for (std::size_t n = 0; n <= aResponse.size(); ++n) {
      const RawByteServer server{ aResponse.substr(0, n) };
      const ExchangeRecord record = exchange(mLoop, kPeer, { "GET", "/", {}, {} });
      ASSERT_TRUE(record.mResult);
      const bool complete = *record.mResult == ExchangeResult::Complete;
      ASSERT_EQ(complete, n == aResponse.size()) << "truncated after " << n << " bytes";
      if (complete) {
        EXPECT_EQ(record.mBody, "hello world");
      }
    }
  }

  EventLoop mLoop;
};

TEST_F(ResponseCompletenessTest, DetectsTruncationWithContentLength)
{
  checkTruncations("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world");
}

TEST_F(ResponseCompletenessTest, DetectsTruncationOfChunkedBodies)
{
  checkTruncations("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n");
}

TEST_F(ResponseCompletenessTest, RejectsBodiesWithoutAVerifiableEnd)
{
  for (const char* response : { "HTTP/1.1 200 OK\r\n\r\nhello world",
                                "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nhello world",
                                "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n0\r\n\r\n",
                                "nonsense\r\n\r\n" }) {
    const RawByteServer server{ response };
    EXPECT_EQ(*exchange(mLoop, kPeer, { "GET", "/", {}, {} }).mResult, ExchangeResult::Interrupted)
      << response;
  }
}

TEST_F(ResponseCompletenessTest, AcceptsABodyThatEndsAtCloseIfTheListenerAllowsIt)
{
  const RawByteServer server{ "HTTP/1.1 200 OK\r\n\r\nhello world" };
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  const ExchangeRecord record = exchange(mLoop, kPeer, { "GET", "/", {}, {} }, std::move(listener));
  EXPECT_EQ(record.mResult, ExchangeResult::Complete);
  EXPECT_EQ(record.mBody, "hello world");
}

TEST_F(ResponseCompletenessTest, StillRequiresTheContentLengthWhenBodiesMayEndAtClose)
{
  const RawByteServer server{ "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhello world" };
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  const ExchangeRecord record = exchange(mLoop, kPeer, { "GET", "/", {}, {} }, std::move(listener));
  EXPECT_EQ(record.mResult, ExchangeResult::Interrupted);
}

TEST_F(ResponseCompletenessTest, SkipsAResponseToAnotherRequest)
{
  const RawByteServer server{ "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nalien"
                              "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine" };
  ExchangeListener listener;
  listener.mIsMatchingResponse = [](const ResponseHead& aHead) {
    return *findHeader(aHead.mHeaders, "X-Id") == "2";
  };
  const ExchangeRecord record = exchange(mLoop, kPeer, { "GET", "/", {}, {} }, std::move(listener));
  EXPECT_EQ(record.mResult, ExchangeResult::Complete);
  EXPECT_EQ(record.mBody, "mine");
}

TEST_F(ResponseCompletenessTest, SkipsInformationalResponses)
{
  const RawByteServer server{ "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
  const ExchangeRecord record = exchange(mLoop, kPeer, { "GET", "/", {}, {} });
  EXPECT_EQ(*record.mResult, ExchangeResult::Complete);
  EXPECT_EQ(record.mHead.mStatus, 200);
  EXPECT_EQ(findHeader(record.mHead.mHeaders, "link"), nullptr);
}

TEST_F(ResponseCompletenessTest, ReportsARefusedConnectionAsNotSent)
{
  EXPECT_EQ(*exchange(mLoop, kUnusedEndpoint, { "GET", "/", {}, {} }).mResult,
            ExchangeResult::NotSent);
}

/// Requests to HttpServer through HttpClient, or as raw bytes.
struct HttpServerTest : testing::Test
{
  HttpServerTest()
    : mServer(
        mLoop,
        kServer,
        { [this](std::string_view aPath) { return aPath == "/ready" ? &mCachedBody : nullptr; },
          [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
            mLastRequest = std::move(aRequest);
            handle(*aResponder);
          } })
  {
  }
  ~HttpServerTest() override
  {
    mServer.close();
    mLoop.after(Duration{ 0 }, [this] { mLoop.stop(); });
    mLoop.run();
  }

  void handle(HttpResponder& aResponder)
  {
    if (mLastRequest.mPath == "/unanswered") {
      aResponder.abort();
      return;
    }
    if (mLastRequest.mPath == "/broken") {
      aResponder.start({ 200, {}, std::nullopt });
      aResponder.write("part");
      aResponder.abort();
      return;
    }
    respond(aResponder,
            { { 200, { { "X-Seen", "yes" } }, std::nullopt }, mLastRequest.mBody.text() });
  }

  std::string rawResponse(const std::string& aBytes)
  {
    std::string response;
    std::thread caller{ [&] {
      response = sendRaw(aBytes);
      mRawExchangeDone = true;
    } };
    const std::function<void()> check = [&] {
      mRawExchangeDone ? mLoop.stop() : (void)mLoop.after(std::chrono::milliseconds(1), check);
    };
    check();
    mLoop.run();
    caller.join();
    mRawExchangeDone = false;
    return response;
  }

  EventLoop mLoop;
  std::string mCachedBody = R"({"ready":true})";
  HttpRequest mLastRequest;
  std::atomic<bool> mRawExchangeDone = false;
  HttpServer mServer;
};

TEST_F(HttpServerTest, PassesOnMethodPathHeadersAndBody)
{
  const ExchangeRecord record =
    exchange(mLoop, kServer, { "PUT", "/a%2Fb?c=d", { { "X-A", "1" } }, "body" });
  EXPECT_EQ(*record.mResult, ExchangeResult::Complete);
  EXPECT_EQ(record.mBody, "body");
  EXPECT_EQ(mLastRequest.mMethod, "PUT");
  EXPECT_EQ(mLastRequest.mPath, "/a%2Fb?c=d");
  EXPECT_EQ(*findHeader(mLastRequest.mHeaders, "x-a"), "1");
  EXPECT_EQ(*findHeader(record.mHead.mHeaders, "x-seen"), "yes");
}

TEST_F(HttpServerTest, ServesCachedBodies)
{
  EXPECT_EQ(exchange(mLoop, kServer, { "GET", "/ready", {}, {} }).mBody, mCachedBody);
}

TEST_F(HttpServerTest, LetsTheCallerDetectAnAbortedResponse)
{
  EXPECT_EQ(*exchange(mLoop, kServer, { "GET", "/broken", {}, {} }).mResult,
            ExchangeResult::Interrupted);
}

TEST_F(HttpServerTest, EndsARequestThatIsAbortedBeforeItsResponse)
{
  const std::string response = rawResponse("GET /unanswered HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(response.find(" 200 "), std::string::npos) << response;
  EXPECT_EQ(mServer.requestsInProgress(), 0U);
}

TEST_F(HttpServerTest, RejectsABodyThatIsTooLarge)
{
  const std::string body(kMaxRequestBodyBytes + 1, 'x');
  const ExchangeRecord record = exchange(mLoop, kServer, { "POST", "/", {}, body });
  EXPECT_EQ(record.mHead.mStatus, 413);
}

TEST_F(HttpServerTest, RejectsConflictingFraming)
{
  mLastRequest = {};
  for (const char* framing : { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                               "Content-Length: 5\r\nContent-Length: 6\r\n" }) {
    const std::string response = rawResponse(std::string("POST /x HTTP/1.1\r\nHost: a\r\n") +
                                             framing + "\r\n0\r\n\r\nabcdefgh");
    EXPECT_TRUE(response.empty() || response.find(" 400 ") != std::string::npos) << response;
    EXPECT_EQ(mLastRequest.mPath, "");
  }
}

TEST_F(HttpServerTest, RejectsBytesThatAreNotHttp)
{
  const std::string response = rawResponse("\x16\x03\x01 nonsense\r\n\r\n");
  EXPECT_TRUE(response.empty() || response.find(" 4") != std::string::npos) << response;
}

} // namespace
} // namespace bulrushrun
