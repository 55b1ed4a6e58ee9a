#include "bulrushrun/net/tests/BrokenHeads.h"
#include "bulrushrun/net/tests/CutAnswerFixture.h"
#include "bulrushrun/store/BufferedExchange.h"

namespace bulrushrun {
namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kLength = "Content-Length: 5\r\n";
const std::string kEnd = "\r\nhello";

/// A head that callers and the next hops would read differently, or not at all.
struct BrokenHeadTest : CutAnswerTest
{
  void expectNoResponse(const std::string& aBytes)
  {
    const Received received = receive(aBytes);
    EXPECT_EQ(*received.mResult, ExchangeResult::Interrupted) << printable(aBytes);
    EXPECT_TRUE(received.mHead.mHeaders.empty()) << "the head was reported: " << printable(aBytes);
    EXPECT_EQ(received.mBody, "") << printable(aBytes);
  }
};

/// Guards against a status that no caller understands, in every framing.
TEST_F(BrokenHeadTest, InvalidStatusIsNoResponse)
{
  for (const std::string& line : kInvalidStatusLines) {
    expectNoResponse(line + "\r\nX-A: 1\r\n" + kLength + kEnd);
    expectNoResponse(line +
                     "\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    expectNoResponse(line + "\r\nX-A: 1\r\n" + kEnd);
  }
}

struct MalformedNameTest : BrokenHeadTest
{};

/// Guards against passing on a line that the next hop reads as another one or refuses, wherever it
/// stands.
TEST_F(MalformedNameTest, OfAnyFieldIsNoResponse)
{
  for (const std::string& line : linesWithMalformedName("X-Odd", "1")) {
    expectNoResponse(kOk + line + kLength + kEnd);
    if (!isContinuation(line)) {
      expectNoResponse(kOk + kLength + line + kEnd);
    }
  }
}

/// Guards against a body of another length than the server's.
TEST_F(MalformedNameTest, OfTheFramingIsNoResponse)
{
  for (const std::string& line : linesWithMalformedName("Content-Length", "2")) {
    expectNoResponse(kOk + line + kEnd);
    expectNoResponse(kOk + line + kLength + kEnd);
  }
  for (const std::string& line : linesWithMalformedName("Transfer-Encoding", "chunked")) {
    expectNoResponse(kOk + line + "\r\n5\r\nhello\r\n0\r\n\r\n");
  }
}

/// Guards against the same in parts: every byte arrives by itself.
TEST_F(MalformedNameTest, InSingleBytesIsNoResponse)
{
  for (const std::string& line : linesWithMalformedName("X-Odd", "1")) {
    const Received received = receive(kOk + line + kLength + kEnd, Cut::CloseAfterSingleBytes);
    EXPECT_EQ(*received.mResult, ExchangeResult::Interrupted) << printable(line);
    EXPECT_EQ(received.mBody, "") << printable(line);
  }
}

/// Guards against refusing names that are unusual, but valid.
TEST_F(MalformedNameTest, EveryTokenIsAccepted)
{
  for (int code = 0; code < 256; ++code) {
    const char character = static_cast<char>(code);
    if (isTokenCharacter(character)) {
      const std::string name = std::string("X") + character;
      const Received received = receive(kOk + name + ": 1\r\n" + kLength + kEnd);
      EXPECT_EQ(*received.mResult, ExchangeResult::Complete) << name;
      EXPECT_NE(findHeader(received.mHead.mHeaders, name), nullptr) << name;
      EXPECT_EQ(received.mBody, "hello");
    }
  }
}

/// Guards against such heads where health checks, the store and peers are asked.
TEST_F(BrokenHeadTest, BufferedExchangesGetNoResponse)
{
  EventLoopHost host{ mLoop, kUnusedEndpoint, [](const std::string&) {} };
  std::vector<std::string> answers;
  for (const std::string& line : kInvalidStatusLines) {
    answers.push_back(line + "\r\n" + kLength + kEnd);
  }
  for (const std::string& line : linesWithMalformedName("X-Odd", "1")) {
    answers.push_back(kOk + line + kLength + kEnd);
    if (!isContinuation(line)) {
      answers.push_back(kOk + kLength + line + kEnd);
    }
  }
  for (const std::string& answer : answers) {
    mServer.setAnswer(answer, Cut::CloseAfterOneWrite);
    std::optional<ExchangeResult> result;
    startBufferedExchange(host,
                          kPeer,
                          HttpRequest{ "GET", "/", {}, {} },
                          std::chrono::seconds(5),
                          1000,
                          [&](ExchangeResult aResult, const HttpResponse&) {
                            result = aResult;
                            mLoop.stop();
                          });
    mLoop.run();
    EXPECT_EQ(*result, ExchangeResult::Interrupted) << printable(answer);
  }
  destroyClosedConnections();
}

} // namespace
} // namespace bulrushrun
