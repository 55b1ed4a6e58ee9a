#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

/// What one exchange brought.
struct Seen
{
  ResponseHead mHead;
  std::string mBody;
  std::optional<ExchangeResult> mEnd;
};

/// Sends one request and runs the loop until it ended.
Seen exchange(EventLoop& aLoop,
              const Endpoint& aTo,
              const HttpRequest& aRequest,
              ExchangeListener aListener = {})
{
  HttpClient client{ aLoop };
  Seen seen;
  ExchangeListener listener = std::move(aListener);
  listener.mOnHead = [&](const ResponseHead& aHead) { seen.mHead = aHead; };
  listener.mOnBody = [&](std::string_view aBytes) {
    seen.mBody.append(aBytes);
    return true;
  };
  listener.mOnEnd = [&](ExchangeResult aEnd, const std::string&) {
    seen.mEnd = aEnd;
    aLoop.stop();
  };
  client.start(aTo, aRequest, ConnectionUse::Pooled, std::move(listener));
  aLoop.run();
  // Let the client discard what it closed.
  aLoop.after(Duration{ 0 }, [&] { aLoop.stop(); });
  aLoop.run();
  return seen;
}

/// Sends raw bytes to the server and returns everything that comes back.
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
  std::string answer;
  char part[4096];
  for (ssize_t n = 0; (n = ::recv(connection, part, sizeof(part), 0)) > 0;) {
    answer.append(part, static_cast<std::size_t>(n));
  }
  ::close(connection);
  return answer;
}

/// Story: a caller gets the whole answer, or an error; never a short success.
struct AWholeAnswer : testing::Test
{
  void cutEverywhere(const std::string& aAnswer)
  {
    for (std::size_t n = 0; n <= aAnswer.size(); ++n) {
      const RawByteServer peer{ aAnswer.substr(0, n) };
      const Seen seen = exchange(mLoop, kPeer, { "GET", "/", {}, {} });
      ASSERT_TRUE(seen.mEnd);
      const bool whole = *seen.mEnd == ExchangeResult::Complete;
      ASSERT_EQ(whole, n == aAnswer.size()) << "cut after " << n << " bytes";
      if (whole) {
        EXPECT_EQ(seen.mBody, "hello world");
      }
    }
  }

  EventLoop mLoop;
};

TEST_F(AWholeAnswer, WithALengthIsToldFromOneCutAtAnyByte)
{
  cutEverywhere("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world");
}

TEST_F(AWholeAnswer, InChunksIsToldFromOneCutAtAnyByte)
{
  cutEverywhere("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n");
}

TEST_F(AWholeAnswer, WithoutAVerifiableEndIsBroken)
{
  for (const char* answer : { "HTTP/1.1 200 OK\r\n\r\nhello world",
                              "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nhello world",
                              "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n0\r\n\r\n",
                              "nonsense\r\n\r\n" }) {
    const RawByteServer peer{ answer };
    EXPECT_EQ(*exchange(mLoop, kPeer, { "GET", "/", {}, {} }).mEnd, ExchangeResult::Interrupted)
      << answer;
  }
}

TEST_F(AWholeAnswer, MayEndWithItsConnectionWhereTheListenerAcceptsThat)
{
  const RawByteServer peer{ "HTTP/1.1 200 OK\r\n\r\nhello world" };
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  const Seen seen = exchange(mLoop, kPeer, { "GET", "/", {}, {} }, std::move(listener));
  EXPECT_EQ(seen.mEnd, ExchangeResult::Complete);
  EXPECT_EQ(seen.mBody, "hello world");
}

TEST_F(AWholeAnswer, WithALengthIsBrokenWhenItsConnectionEndsEarlyAllTheSame)
{
  const RawByteServer peer{ "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhello world" };
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  const Seen seen = exchange(mLoop, kPeer, { "GET", "/", {}, {} }, std::move(listener));
  EXPECT_EQ(seen.mEnd, ExchangeResult::Interrupted);
}

TEST_F(AWholeAnswer, IsWaitedForBehindAnAnswerToAnotherRequest)
{
  const RawByteServer peer{ "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nalien"
                            "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nmine" };
  ExchangeListener listener;
  listener.mIsMatchingResponse = [](const ResponseHead& aHead) {
    return *findHeader(aHead.mHeaders, "X-Id") == "2";
  };
  const Seen seen = exchange(mLoop, kPeer, { "GET", "/", {}, {} }, std::move(listener));
  EXPECT_EQ(seen.mEnd, ExchangeResult::Complete);
  EXPECT_EQ(seen.mBody, "mine");
}

TEST_F(AWholeAnswer, SkipsInformationalAnswersBeforeIt)
{
  const RawByteServer peer{ "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
  const Seen seen = exchange(mLoop, kPeer, { "GET", "/", {}, {} });
  EXPECT_EQ(*seen.mEnd, ExchangeResult::Complete);
  EXPECT_EQ(seen.mHead.mStatus, 200);
  EXPECT_EQ(findHeader(seen.mHead.mHeaders, "link"), nullptr);
}

TEST_F(AWholeAnswer, CannotComeFromAnAddressWhereNobodyListens)
{
  EXPECT_EQ(*exchange(mLoop, kUnusedEndpoint, { "GET", "/", {}, {} }).mEnd,
            ExchangeResult::NotSent);
}

/// Story: our own server.
struct AServer : testing::Test
{
  AServer()
    : mServer(mLoop,
              kServer,
              { [this](std::string_view aPath) { return aPath == "/ready" ? &mReady : nullptr; },
                [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                  mLast = std::move(aRequest);
                  handle(*aResponder);
                } })
  {
  }
  ~AServer() override
  {
    mServer.close();
    mLoop.after(Duration{ 0 }, [this] { mLoop.stop(); });
    mLoop.run();
  }

  void handle(HttpResponder& aResponder)
  {
    if (mLast.mPath == "/unanswered") {
      aResponder.abort();
      return;
    }
    if (mLast.mPath == "/broken") {
      aResponder.start({ 200, {}, std::nullopt });
      aResponder.write("part");
      aResponder.abort();
      return;
    }
    respond(aResponder, { { 200, { { "X-Seen", "yes" } }, std::nullopt }, mLast.mBody });
  }

  std::string rawAnswer(const std::string& aBytes)
  {
    std::string answer;
    std::thread caller{ [&] {
      answer = sendRaw(aBytes);
      mDone = true;
    } };
    const std::function<void()> check = [&] {
      mDone ? mLoop.stop() : (void)mLoop.after(std::chrono::milliseconds(1), check);
    };
    check();
    mLoop.run();
    caller.join();
    mDone = false;
    return answer;
  }

  EventLoop mLoop;
  std::string mReady = R"({"ready":true})";
  HttpRequest mLast;
  std::atomic<bool> mDone = false;
  HttpServer mServer;
};

TEST_F(AServer, CarriesMethodPathHeadersAndBody)
{
  const Seen seen = exchange(mLoop, kServer, { "PUT", "/a%2Fb?c=d", { { "X-A", "1" } }, "body" });
  EXPECT_EQ(*seen.mEnd, ExchangeResult::Complete);
  EXPECT_EQ(seen.mBody, "body");
  EXPECT_EQ(mLast.mMethod, "PUT");
  EXPECT_EQ(mLast.mPath, "/a%2Fb?c=d");
  EXPECT_EQ(*findHeader(mLast.mHeaders, "x-a"), "1");
  EXPECT_EQ(*findHeader(seen.mHead.mHeaders, "x-seen"), "yes");
}

TEST_F(AServer, AnswersReadyPathsAtOnce)
{
  EXPECT_EQ(exchange(mLoop, kServer, { "GET", "/ready", {}, {} }).mBody, mReady);
}

TEST_F(AServer, LetsTheCallerSeeThatAnAnswerBroke)
{
  EXPECT_EQ(*exchange(mLoop, kServer, { "GET", "/broken", {}, {} }).mEnd,
            ExchangeResult::Interrupted);
}

TEST_F(AServer, ClosesTheConnectionOfARequestThatGetsNoAnswer)
{
  const std::string answer = rawAnswer("GET /unanswered HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_EQ(mServer.inProgress(), 0U);
}

TEST_F(AServer, RefusesABodyBeyondTheBound)
{
  const std::string body(kMaxRequestBodyBytes + 1, 'x');
  const Seen seen = exchange(mLoop, kServer, { "POST", "/", {}, body });
  EXPECT_EQ(seen.mHead.mStatus, 413);
}

TEST_F(AServer, RefusesConflictingFramingOnTheWire)
{
  mLast = {};
  for (const char* framing : { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                               "Content-Length: 5\r\nContent-Length: 6\r\n" }) {
    const std::string answer =
      rawAnswer(std::string("POST /x HTTP/1.1\r\nHost: a\r\n") + framing + "\r\n0\r\n\r\nabcdefgh");
    EXPECT_TRUE(answer.empty() || answer.find(" 400 ") != std::string::npos) << answer;
    EXPECT_EQ(mLast.mPath, "");
  }
}

TEST_F(AServer, ClosesOnNonsense)
{
  const std::string answer = rawAnswer("\x16\x03\x01 nonsense\r\n\r\n");
  EXPECT_TRUE(answer.empty() || answer.find(" 4") != std::string::npos) << answer;
}

} // namespace
} // namespace bulrushrun
