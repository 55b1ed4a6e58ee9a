#include "bulrushrun/net/tests/CutAnswerFixture.h"
#include "bulrushrun/store/BufferedExchange.h"

namespace bulrushrun {
namespace {

/// Guards against a cut head or body that counts as complete: every prefix of every framing.
TEST_F(CutAnswerTest, NoPrefixIsComplete)
{
  for (const SampleAnswer& answer : sampleAnswers()) {
    for (const Cut cut : kCuts) {
      for (std::size_t n = 0; n < answer.wholeFrom(); ++n) {
        const Received received = receive(answer.mBytes.substr(0, n), cut, answer.mMethod);
        ASSERT_EQ(*received.mResult, ExchangeResult::Interrupted)
          << answer.mName << ", " << n << " bytes, cut " << static_cast<int>(cut);
      }
    }
  }
}

/// Guards against losing whole answers, and against a wrong body or status.
TEST_F(CutAnswerTest, WholeAnswersAreComplete)
{
  for (const SampleAnswer& answer : sampleAnswers()) {
    for (const Cut cut : { Cut::CloseAfterOneWrite, Cut::CloseAfterSingleBytes }) {
      for (std::size_t n = answer.wholeFrom(); n <= answer.mBytes.size(); ++n) {
        const Received received = receive(answer.mBytes.substr(0, n), cut, answer.mMethod);
        ASSERT_EQ(*received.mResult, ExchangeResult::Complete)
          << answer.mName << ", " << n << " bytes, cut " << static_cast<int>(cut);
        EXPECT_EQ(received.mHead.mStatus, answer.mStatus) << answer.mName;
        EXPECT_EQ(received.mBody, answer.bodyOf(n)) << answer.mName;
      }
    }
  }
}

/// Guards against taking a reset as the orderly end of a body without a length.
TEST_F(CutAnswerTest, ResetDoesNotEndABodyWithoutALength)
{
  for (const SampleAnswer& answer : sampleAnswers()) {
    for (const Cut cut : { Cut::ResetAfterOneWrite, Cut::ResetAfterSingleBytes }) {
      for (std::size_t n = answer.wholeFrom(); answer.mEndsAtClose && n <= answer.mBytes.size();
           ++n) {
        ASSERT_EQ(*receive(answer.mBytes.substr(0, n), cut).mResult, ExchangeResult::Interrupted)
          << answer.mName << ", " << n << " bytes";
      }
    }
  }
}

/// Guards against a part of an answer that overtakes the request: the server reads only the start
/// of the request, so that its close resets the connection.
TEST_F(CutAnswerTest, NoPrefixOfAnEarlyAnswerIsComplete)
{
  const std::string requestBody(std::size_t{ 1024 } * 1024, 'x');
  constexpr std::size_t kStep = 9;
  for (const SampleAnswer& answer : sampleAnswers()) {
    const std::string method = answer.mMethod == std::string("HEAD") ? "HEAD" : "POST";
    for (std::size_t missing = 0; missing <= answer.mBytes.size(); missing += kStep) {
      const std::size_t n = answer.mBytes.size() - missing;
      const Received received =
        receive(answer.mBytes.substr(0, n), Cut::CloseAfterOneWrite, method, true, requestBody);
      const bool mayBeComplete = missing == 0 && !answer.mEndsAtClose;
      ASSERT_TRUE(mayBeComplete || *received.mResult == ExchangeResult::Interrupted)
        << answer.mName << ", " << n << " bytes";
      EXPECT_TRUE(*received.mResult != ExchangeResult::Complete || received.mBody == answer.mBody);
    }
  }
}

/// Guards against a digit of the length that is lost with the rest of the head.
TEST_F(CutAnswerTest, ACutLengthIsNotUsed)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 12";
  for (const char* rest : { "", "\r", "\r\n", "\r\n\r", "00\r\nX-Response-Sig" }) {
    for (const Cut cut : kCuts) {
      const Received received = receive(head + rest, cut);
      EXPECT_EQ(*received.mResult, ExchangeResult::Interrupted) << rest;
      EXPECT_TRUE(received.mHead.mHeaders.empty()) << "no head is reported";
    }
  }
}

/// Guards against rows from a part of a store's or a peer's answer.
TEST_F(CutAnswerTest, NoPrefixIsCompleteForTheStoreClient)
{
  EventLoopHost host{ mLoop, kUnusedEndpoint, [](const std::string&) {} };
  for (const SampleAnswer& answer : sampleAnswers()) {
    for (std::size_t n = 0; n <= answer.mBytes.size(); ++n) {
      mServer.setAnswer(answer.mBytes.substr(0, n), kCuts[n % std::size(kCuts)]);
      std::optional<ExchangeResult> result;
      std::string body;
      startBufferedExchange(host,
                            kPeer,
                            HttpRequest{ answer.mMethod, "/", {}, {} },
                            std::chrono::seconds(5),
                            1000,
                            [&](ExchangeResult aResult, const HttpResponse& aResponse) {
                              result = aResult;
                              body = aResponse.mBody;
                              mLoop.stop();
                            });
      mLoop.run();
      const bool mayBeComplete = n == answer.mBytes.size() && !answer.mEndsAtClose;
      EXPECT_TRUE(mayBeComplete || *result == ExchangeResult::Interrupted)
        << answer.mName << ", " << n << " bytes";
      EXPECT_TRUE(*result != ExchangeResult::Complete || body == answer.mBody) << answer.mName;
    }
  }
  destroyClosedConnections();
}

/// Guards against a body of the wrong length: the lengths contradict each other or are none.
TEST_F(DoubtfulFramingTest, ContradictoryAndMalformedLengthsAreRefused)
{
  for (const char* headers : { "Content-Length: 5\r\nContent-Length: 6\r\n",
                               "Content-Length: 5\r\nContent-Length: 5\r\n",
                               "Content-Length: 5, 5\r\n",
                               "Content-Length: 5 5\r\n",
                               "Content-Length: 5\r\n 0\r\n",
                               "Content-Length: -5\r\n",
                               "Content-Length: +5\r\n",
                               "Content-Length: 5x\r\n",
                               "Content-Length: 0x5\r\n",
                               "Content-Length: 5.0\r\n",
                               "Content-Length:\r\n",
                               "Content-Length: 9223372036854775807\r\n",
                               "Content-Length: 18446744073709551615\r\n",
                               "Content-Length: 18446744073709551621\r\n",
                               "Content-Length: 99999999999999999999999\r\n" }) {
    expectRefused(headers, "hello");
  }
}

/// Guards against two readings of one body: a length together with chunks.
TEST_F(DoubtfulFramingTest, LengthTogetherWithChunksIsRefused)
{
  for (const char* headers : { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n" }) {
    expectRefused(headers, "5\r\nhello\r\n0\r\n\r\n");
  }
}

/// Guards against passing on the bytes of a transfer coding as the body.
TEST_F(DoubtfulFramingTest, TransferCodingsOtherThanChunkedAreRefused)
{
  for (const char* headers : { "Transfer-Encoding: gzip\r\n",
                               "Transfer-Encoding: gzip, chunked\r\n",
                               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked, gzip\r\n",
                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: xchunked\r\n",
                               "Transfer-Encoding: chun\r\n ked\r\n",
                               "Transfer-Encoding:\r\n" }) {
    expectRefused(headers, "5\r\nhello\r\n0\r\n\r\n");
  }
}

/// Guards against chunks of the wrong size.
TEST_F(DoubtfulFramingTest, MalformedChunksAreRefused)
{
  for (const char* body : { "-5\r\nhello\r\n0\r\n\r\n",
                            "5\r\nhello world\r\n0\r\n\r\n",
                            "0x5\r\nhello\r\n0\r\n\r\n",
                            "\r\nhello\r\n0\r\n\r\n",
                            "fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
                            "5\r\nhello\r\n0\r\n",
                            "5\r\nhello\r\n" }) {
    expectRefused("Transfer-Encoding: chunked\r\n", body);
  }
}

/// Guards against a part of a chunk as the whole, and against a size line in the body: their ends
/// are not where the sizes say.
TEST_F(DoubtfulFramingTest, ChunksThatDoNotEndWithTheirLinesAreRefused)
{
  for (const char* body : { "5\r\nhelloXY0\r\n\r\n",
                            "5\r\nhello world1\r\n0\r\n\r\n",
                            "5\r\nhello\n0\r\n0\r\n\r\n",
                            "5\r\nhello\n\n0\r\n\r\n",
                            "5\r\nhello\r\r0\r\n\r\n",
                            "5\r\nhello\rX0\r\n\r\n",
                            "5\rXhello\r\n0\r\n\r\n",
                            "5\r\nhello\r\n0\rX\r\n",
                            "5\r\nhello\r\n0\r\n\rX",
                            "5\r\nhello\r\n0\r\nX-A: 1\r\n\rX" }) {
    expectRefused("Transfer-Encoding: chunked\r\n", body);
  }
}

/// Guards against a header that frames the answer here and is passed on as another one.
TEST_F(DoubtfulFramingTest, HeaderNamesThatAreNoTokensAreRefused)
{
  for (const char* headers : { "Content-Length : 5\r\n",
                               "Content-Length\t: 5\r\n",
                               "Content-Length: 5\r\nX Odd: 1\r\n",
                               "Content-Length: 5\r\n: 1\r\n",
                               "Content-Length: 5\r\nX-Odd\r\n" }) {
    expectRefused(headers, "hello");
  }
  expectRefused("Transfer-Encoding : chunked\r\n", "5\r\nhello\r\n0\r\n\r\n");
}

/// Guards against the bytes after an informational head in the body of the answer.
TEST_F(DoubtfulFramingTest, InformationalAnswersHaveNoBody)
{
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const char* framing : { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n" }) {
    const std::string head = std::string("HTTP/1.1 103 Early Hints\r\n") + framing + "\r\n";
    const Received received = receive(head + ok);
    EXPECT_EQ(*received.mResult, ExchangeResult::Complete) << head;
    EXPECT_EQ(received.mBody, "ok");
    for (const char* body : { "hello", "5\r\nhello\r\n0\r\n\r\n" }) {
      const Received inDoubt = receive(head + body + ok);
      EXPECT_EQ(*inDoubt.mResult, ExchangeResult::Interrupted) << head;
      EXPECT_EQ(inDoubt.mBody, "") << "no byte precedes the head of the answer";
    }
  }
}

/// Guards against waiting for a body that never comes, and against taking one where none may be.
TEST_F(DoubtfulFramingTest, AnswersWithoutABodyEndAfterTheirHead)
{
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    for (const char* framing : { "", "Content-Length: 11\r\n", "Transfer-Encoding: chunked\r\n" }) {
      for (const char* body : { "", "hello world" }) {
        const Received received =
          receive(std::string("HTTP/1.1 ") + status + "\r\n" + framing + "\r\n" + body);
        EXPECT_EQ(*received.mResult, ExchangeResult::Complete) << status << " " << framing;
        EXPECT_EQ(received.mBody, "");
      }
    }
  }
}

} // namespace
} // namespace bulrushrun
