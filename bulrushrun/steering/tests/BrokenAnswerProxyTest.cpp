#include "bulrushrun/net/tests/BrokenHeads.h"
#include "bulrushrun/net/tests/CutAnswerServer.h"
#include "bulrushrun/steering/tests/SocketProxyFixture.h"

namespace bulrushrun {
namespace {

const std::string kIds = "X-Request-Id: id-1\r\nX-Response-Signature: t1.id-1\r\n";

/// A target whose answers are broken, behind every kind of route.
class BrokenAnswerProxyTest : public SocketProxyFixture
{
protected:
  static constexpr const char* kKinds[] = { "safe", "non_idempotent", "download" };

  /// Sends one request while the target sends these bytes and ends the connection.
  /// \param aReadTime  time between the last byte of the answer and a reset
  RawCaller call(const char* aKind,
                 const std::string& aAnswer,
                 Cut aCut,
                 const std::string& aRequest,
                 std::chrono::microseconds aReadTime = CutAnswerServer::kReadTime)
  {
    mTarget.setAnswer(aAnswer, aCut, aReadTime);
    resetProxy(plan(aKind));
    return SocketProxyFixture::call(aRequest);
  }

private:
  CutAnswerServer mTarget;
};

class EarlyResetProxyTest : public BrokenAnswerProxyTest
{
protected:
  EarlyResetProxyTest() { setBodyLimit(2 * kLongBodyBytes); }

  static std::string upload(std::size_t aBytes)
  {
    return request("POST", "HTTP/1.1", "Content-Length: " + std::to_string(aBytes) + "\r\n") +
           std::string(aBytes, 'u');
  }

  static constexpr std::size_t kLongBodyBytes = std::size_t{ 16 } * 1024 * 1024;
  static constexpr std::size_t kShortBodyBytes = std::size_t{ 64 } * 1024;
  /// Before, while and after the rest of the upload is written.
  static constexpr std::chrono::milliseconds kReadTimes[] = { std::chrono::milliseconds(0),
                                                              std::chrono::milliseconds(1),
                                                              std::chrono::milliseconds(10) };
  static constexpr std::size_t kStreamedBytes = std::size_t{ 300 } * 1024;
};

/// Guards against passing on a part of an answer without a length as the whole, when its target
/// resets the connection before it has read the request.
TEST_F(EarlyResetProxyTest, CallerSeesThatTheAnswerIsBroken)
{
  for (const char* kind : kKinds) {
    for (const std::size_t uploadBytes : { kShortBodyBytes, kLongBodyBytes }) {
      const std::string request = upload(uploadBytes);
      for (const std::size_t bodyBytes : { std::size_t{ 0 }, std::size_t{ 5 }, kStreamedBytes }) {
        for (const char* version : { "HTTP/1.1", "HTTP/1.0" }) {
          const std::string answer =
            version + (" 200 OK\r\n" + kIds) + "\r\n" + std::string(bodyBytes, 'r');
          for (const std::chrono::milliseconds readTime : kReadTimes) {
            const RawCaller caller = call(kind, answer, Cut::ResetAfterOneWrite, request, readTime);
            EXPECT_FALSE(caller.isSuccess() && caller.isWhole())
              << kind << ", " << version << ", upload of " << uploadBytes << " bytes, reset after "
              << readTime.count() << " ms, " << caller.body().size()
              << " bytes of the answer as the whole";
          }
        }
      }
    }
  }
}

/// Guards against losing an answer without a length that ends in an orderly way.
TEST_F(EarlyResetProxyTest, CallerGetsAnAnswerThatEndsInAnOrderlyWay)
{
  for (const char* kind : kKinds) {
    const RawCaller caller =
      call(kind, "HTTP/1.1 200 OK\r\n" + kIds + "\r\nwhole", Cut::CloseAfterOneWrite, upload(1000));
    EXPECT_EQ(caller.status(), 200) << kind;
    EXPECT_EQ(caller.body(), "whole") << kind;
    EXPECT_TRUE(caller.isWhole()) << kind;
  }
}

class BrokenHeadProxyTest : public BrokenAnswerProxyTest
{
protected:
  /// Sends a request that gets this answer, on each kind of route.
  void expectFailure(const std::string& aAnswer)
  {
    for (const char* kind : kKinds) {
      for (const char* method : { "GET", "HEAD" }) {
        const RawCaller caller = call(kind, aAnswer, Cut::CloseAfterOneWrite, request(method));
        EXPECT_EQ(caller.status(), 502) << kind << ", " << method << " " << printable(aAnswer);
        EXPECT_FALSE(caller.has("x-response-signature")) << printable(caller.bytes());
        EXPECT_FALSE(caller.has("odd")) << printable(caller.bytes());
        EXPECT_EQ(caller.body().find("hello"), std::string::npos) << printable(caller.bytes());
      }
    }
  }
};

/// Guards against passing on a status that no caller understands.
TEST_F(BrokenHeadProxyTest, CallerGetsNoInvalidStatus)
{
  for (const std::string& line : kInvalidStatusLines) {
    expectFailure(line + "\r\n" + kIds + "Content-Length: 5\r\n\r\nhello");
    expectFailure(line + "\r\n" + kIds + "\r\nhello");
  }
}

/// Guards against passing on a line whose name no caller reads as the target does.
TEST_F(BrokenHeadProxyTest, CallerGetsNoMalformedName)
{
  for (const std::string& line : linesWithMalformedName("X-Odd", "1")) {
    expectFailure("HTTP/1.1 200 OK\r\n" + line + kIds + "Content-Length: 5\r\n\r\nhello");
    if (!isContinuation(line)) {
      expectFailure("HTTP/1.1 200 OK\r\n" + kIds + "Content-Length: 5\r\n" + line + "\r\nhello");
    }
  }
}

/// Guards against a body of a length that the target didn't state.
TEST_F(BrokenHeadProxyTest, CallerGetsNoBodyOfAnotherLength)
{
  for (const std::string& line : linesWithMalformedName("Content-Length", "2")) {
    expectFailure("HTTP/1.1 200 OK\r\n" + line + kIds + "\r\nhello");
    if (!isContinuation(line)) {
      expectFailure("HTTP/1.1 200 OK\r\n" + kIds + line + "\r\nhello");
    }
  }
}

} // namespace
} // namespace bulrushrun
