#include "bulrushrun/net/tests/CutAnswerServer.h"
#include "bulrushrun/steering/tests/SocketProxyFixture.h"

namespace bulrushrun {
namespace {

/// A target that stops at any byte. Guards against passing on a part of an answer as a whole one.
class CutAnswerProxyTest : public SocketProxyFixture
{
protected:
  /// Sends one request while the target sends these bytes and ends the connection.
  RawCaller call(const std::string& aAnswer, Cut aCut, const std::string& aRequest)
  {
    mTarget.setAnswer(aAnswer, aCut);
    resetProxy(atMostOncePlan());
    return SocketProxyFixture::call(aRequest);
  }
  /// Lets the client notice that the target closed an idle connection.
  void letConnectionsClose() { runFor(std::chrono::milliseconds(3)); }

private:
  CutAnswerServer mTarget;
};

/// Guards against a short or empty success, framed as whole, after a cut head or body.
TEST_F(CutAnswerProxyTest, CallerGetsNoPartOfAnAnswer)
{
  for (const SampleAnswer& answer : sampleAnswers()) {
    for (const Cut cut : { Cut::CloseAfterOneWrite, Cut::ResetAfterSingleBytes }) {
      for (std::size_t n = 0; n < answer.wholeFrom(); ++n) {
        const RawCaller caller = call(answer.mBytes.substr(0, n), cut, request(answer.mMethod));
        ASSERT_EQ(caller.status(), 502) << answer.mName << ", " << n << " bytes";
        ASSERT_FALSE(caller.has("x-response-signature")) << answer.mName << ", " << n << " bytes";
      }
    }
  }
}

/// Guards against changing a whole answer, and against taking a reset as the end of a body.
TEST_F(CutAnswerProxyTest, CallerGetsTheWholeAnswer)
{
  for (const SampleAnswer& answer : sampleAnswers()) {
    for (std::size_t n = answer.wholeFrom(); n <= answer.mBytes.size(); ++n) {
      const std::string bytes = answer.mBytes.substr(0, n);
      const RawCaller whole = call(bytes, Cut::CloseAfterSingleBytes, request(answer.mMethod));
      ASSERT_EQ(whole.status(), answer.mStatus) << answer.mName << ", " << n << " bytes";
      EXPECT_TRUE(whole.isWhole()) << answer.mName;
      EXPECT_EQ(whole.body(), answer.bodyOf(n)) << answer.mName;
      EXPECT_TRUE(whole.has("x-response-signature: t1.id-1\r\n")) << answer.mName;
      letConnectionsClose();
      if (answer.mEndsAtClose) {
        EXPECT_EQ(call(bytes, Cut::ResetAfterSingleBytes, request("GET")).status(), 502) << n;
      }
    }
  }
}

/// Guards against a length that the target didn't state, where the length is not that of a body.
TEST_F(CutAnswerProxyTest, LengthOfAnAnswerWithoutABodyIsKept)
{
  const std::string ids = "X-Request-Id: id-1\r\nX-Response-Signature: t1.id-1\r\n";
  const auto callerGets = [&](const char* aMethod, const char* aStatus, const char* aLength) {
    const std::string answer = std::string("HTTP/1.1 ") + aStatus + "\r\n" + ids + aLength + "\r\n";
    const RawCaller caller = call(answer, Cut::CloseAfterOneWrite, request(aMethod));
    letConnectionsClose();
    EXPECT_TRUE(caller.has("connection: keep-alive\r\n")) << caller.bytes();
    return caller.has("content-length: 11\r\n") ? "11"
           : caller.has("content-length")       ? "other"
                                                : "";
  };
  EXPECT_STREQ(callerGets("HEAD", "200 OK", "Content-Length: 11\r\n"), "11");
  EXPECT_STREQ(callerGets("HEAD", "200 OK", "Transfer-Encoding: chunked\r\n"), "");
  EXPECT_STREQ(callerGets("HEAD", "200 OK", ""), "");
  EXPECT_STREQ(callerGets("GET", "304 Not Modified", "Content-Length: 11\r\n"), "11");
  EXPECT_STREQ(callerGets("GET", "304 Not Modified", ""), "");
  EXPECT_STREQ(callerGets("GET", "204 No Content", "Content-Length: 11\r\n"), "")
    << "a 204 has no length";
  EXPECT_STREQ(callerGets("GET", "204 No Content", ""), "");
}

/// Answers above the buffer limit are passed on before they are complete.
class StreamedAnswerTest : public CutAnswerProxyTest
{
protected:
  static constexpr std::size_t kBodyBytes = std::size_t{ 400 } * 1024;
  static constexpr std::size_t kStreamedBytes = std::size_t{ 300 } * 1024;

  static SampleAnswer answer(const char* aName, int aStatus, const std::string& aFraming)
  {
    const std::string body(kBodyBytes, 'x');
    const bool chunked = aFraming.starts_with("Transfer");
    return { aName,
             "HTTP/1.1 " + std::to_string(aStatus) +
               " OK\r\nX-Request-Id: id-1\r\nX-Response-Signature: t1.id-1\r\n" + aFraming +
               "\r\n" + (chunked ? "64000\r\n" + body + "\r\n0\r\n\r\n" : body),
             body,
             "GET",
             aFraming.empty(),
             aStatus };
  }
  static std::vector<SampleAnswer> answers()
  {
    std::vector<SampleAnswer> answers;
    for (const int status : { 200, 201 }) {
      answers.push_back(
        answer("with a length", status, "Content-Length: " + std::to_string(kBodyBytes) + "\r\n"));
      answers.push_back(answer("chunked", status, "Transfer-Encoding: chunked\r\n"));
      answers.push_back(answer("without a length", status, ""));
    }
    return answers;
  }
  static std::vector<std::string> requests()
  {
    return { request("GET"),
             request("GET", "HTTP/1.1", "Connection: close\r\n"),
             request("GET", "HTTP/1.1", "Connection: Upgrade\r\nUpgrade: x\r\n"),
             request("GET", "HTTP/1.0"),
             request("GET", "HTTP/1.0", "Connection: keep-alive\r\n") };
  }
};

/// Guards against a broken answer that looks whole to any kind of caller.
TEST_F(StreamedAnswerTest, BrokenAnswerIsVisiblyBroken)
{
  for (const SampleAnswer& answer : answers()) {
    for (const std::string& request : requests()) {
      for (const Cut cut : { Cut::CloseAfterOneWrite, Cut::ResetAfterOneWrite }) {
        const bool orderly = cut == Cut::CloseAfterOneWrite;
        for (const std::size_t n : { kStreamedBytes, answer.mBytes.size() - 1 }) {
          if (!answer.mEndsAtClose || !orderly) {
            const RawCaller caller = call(answer.mBytes.substr(0, n), cut, request);
            EXPECT_FALSE(caller.isSuccess() && caller.isWhole())
              << answer.mStatus << " " << answer.mName << ", " << n << " bytes, to\n"
              << request;
          }
        }
      }
    }
  }
}

/// Guards against losing the end of a whole answer.
TEST_F(StreamedAnswerTest, WholeAnswerArrivesWhole)
{
  for (const SampleAnswer& answer : answers()) {
    for (const std::string& request : requests()) {
      const RawCaller caller = call(answer.mBytes, Cut::CloseAfterOneWrite, request);
      EXPECT_EQ(caller.status(), answer.mStatus) << answer.mName;
      EXPECT_TRUE(caller.isWhole()) << answer.mStatus << " " << answer.mName << ", to\n" << request;
      EXPECT_TRUE(caller.body() == answer.mBody) << caller.body().size() << " bytes";
      letConnectionsClose();
    }
  }
}

} // namespace
} // namespace bulrushrun
