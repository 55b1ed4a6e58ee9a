#include "bulrushrun/net/tests/EndlessAnswerServer.h"
#include "bulrushrun/net/tests/PeakMemory.h"
#include "bulrushrun/steering/tests/SocketProxyFixture.h"

namespace bulrushrun {
namespace {

/// An answer that has no end: a start, and what follows over and over.
struct EndlessAnswer
{
  const char* mName;
  std::string mStart;
  std::string mRepeated;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kId = "X-Request-Id: id-1\r\n";
const std::string kSignature = "X-Response-Signature: t1.id-1\r\n";
const std::string kDeclined = "HTTP/1.1 503 Full\r\n" + kId + "X-Not-Executed: 1\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessAnswer> answersWithoutAHead()
{
  return {
    { "status line", "HTTP/1.1 200 ", "OK" },
    { "name of a header", kOk, "x" },
    { "value of a header", kOk + "X-Long: ", "x" },
    { "headers", kOk + kId + kSignature, "a:b\r\n" },
    { "interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" },
    { "empty lines", "", "\r\n" },
    { "no HTTP", "", "zzzz" },
    { "responses to another request",
      "",
      kOk + "X-Request-Id: id-0\r\nContent-Length: 5\r\n\r\nalien" },
    { "response to another request", kOk + "X-Request-Id: id-0\r\n" + kChunked, "1\r\nx\r\n" },
  };
}

std::vector<EndlessAnswer> answersThatAreNotForwarded()
{
  return {
    { "unsigned, without a length", kOk + kId + "\r\n", "z" },
    { "unsigned, with a length", kOk + kId + "Content-Length: 99000000000\r\n\r\n", "z" },
    { "unsigned, in chunks of one byte", kOk + kId + kChunked, "1\r\nz\r\n" },
    { "unsigned, with an endless chunk extension", kOk + kId + kChunked + "1;", "z" },
    { "unsigned, with endless trailers", kOk + kId + kChunked + "0\r\n", "a:b\r\n" },
    { "encoded", kOk + kId + kSignature + "Content-Encoding: gzip\r\n\r\n", "z" },
    { "signed, but declared not run", kOk + kId + kSignature + "X-Not-Executed: 1\r\n\r\n", "z" },
    { "refused without a statement", "HTTP/1.1 503 Full\r\n" + kId + "\r\n", "z" },
    { "declined, without a length", kDeclined + "\r\n", "z" },
    { "declined, with a length", kDeclined + "Content-Length: 99000000000\r\n\r\n", "z" },
    { "declined, in chunks of one byte", kDeclined + kChunked, "1\r\nz\r\n" },
    { "misdirected", "HTTP/1.1 421 Misdirected\r\n" + kId + "\r\n", "z" },
  };
}

/// A caller that sends a request and reads nothing until it is asked what arrived.
class SilentCaller
{
public:
  explicit SilentCaller(const std::string& aRequest)
    : mConnection(::socket(AF_INET, SOCK_STREAM, 0))
  {
    const sockaddr_in address = socketAddress(kServer);
    (void)::connect(mConnection, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    (void)::send(mConnection, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
  }
  SilentCaller(const SilentCaller&) = delete;
  SilentCaller& operator=(const SilentCaller&) = delete;
  ~SilentCaller() { ::close(mConnection); }

  /// \returns true when a body arrives with its last chunk, or ends with an orderly close.
  bool receivesAWholeBody() const
  {
    std::string bytes;
    char part[65536];
    ssize_t received = 0;
    while ((received = ::recv(mConnection, part, sizeof(part), MSG_DONTWAIT)) > 0) {
      bytes.append(part, static_cast<std::size_t>(received));
    }
    return received == 0 || bytes.ends_with("\r\n0\r\n\r\n");
  }

private:
  int mConnection;
};

class EndlessAnswerTest : public SocketProxyFixture
{
protected:
  /// Memory that one endless answer may take: buffers of the connection, and the start of a body.
  static constexpr std::size_t kMaxGrowth = std::size_t{ 8 } * 1024 * 1024;
  /// Bytes that a target may get rid of before its connection is closed, those in the kernel's
  /// buffers included.
  static constexpr std::size_t kMaxSentBytes = std::size_t{ 16 } * 1024 * 1024;
  static constexpr Duration kMaxDuration = std::chrono::seconds(2);

  /// Sends a request that gets this answer. \returns what the caller got
  RawCaller call(const EndlessAnswer& aAnswer)
  {
    mTarget.setAnswer(aAnswer.mStart, aAnswer.mRepeated);
    return SocketProxyFixture::call(request("POST", "HTTP/1.1", "Content-Length: 0\r\n"));
  }
  void expectBounded(const std::vector<EndlessAnswer>& aAnswers)
  {
    for (const EndlessAnswer& answer : aAnswers) {
      SCOPED_TRACE(answer.mName);
      resetProxy(atMostOncePlan());
      const PeakMemory memory;
      const TimePoint start = EventLoop::now();
      const RawCaller caller = call(answer);
      EXPECT_EQ(caller.status(), 502) << "the target may have run the request";
      EXPECT_LT(EventLoop::now() - start, kMaxDuration);
      EXPECT_LT(memory.growth(), kMaxGrowth);
      EXPECT_LT(mTarget.sentBytes(), kMaxSentBytes);
    }
  }

  EndlessAnswerServer mTarget;
};

/// Guards against keeping a response head that does not end.
TEST_F(EndlessAnswerTest, HeadsAreBounded)
{
  expectBounded(answersWithoutAHead());
}

/// Guards against keeping the body of a response that will not reach the caller.
TEST_F(EndlessAnswerTest, BodiesThatAreNotForwardedAreBounded)
{
  expectBounded(answersThatAreNotForwarded());
}

/// Guards against reading ahead of a caller that does not read, and against an end that looks like
/// that of a whole body.
TEST_F(EndlessAnswerTest, ForwardedBodiesAreBoundedByTheirCaller)
{
  for (const std::string& framing : { std::string{ "\r\n" }, kChunked }) {
    SCOPED_TRACE(framing);
    resetProxy(atMostOncePlan());
    const PeakMemory memory;
    mTarget.setAnswer(kOk + kId + kSignature + framing, framing == kChunked ? "1\r\nz\r\n" : "z");
    const SilentCaller caller{ request("GET") };
    // The deadline of the request.
    runFor(std::chrono::milliseconds(3200));
    EXPECT_EQ(proxy().requestsInProgress(), 0U);
    EXPECT_LT(memory.growth(), kMaxGrowth);
    EXPECT_FALSE(caller.receivesAWholeBody());
  }
}

} // namespace
} // namespace bulrushrun
