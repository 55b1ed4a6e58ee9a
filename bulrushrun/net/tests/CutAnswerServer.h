#pragma once

#include "bulrushrun/net/tests/RawByteServer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <mutex>

namespace bulrushrun {

/// How a server sends the bytes of an answer, and how it closes the connection after them.
enum class Cut
{
  CloseAfterOneWrite,
  CloseAfterSingleBytes,
  ResetAfterOneWrite,
  ResetAfterSingleBytes,
};

inline constexpr Cut kCuts[] = { Cut::CloseAfterOneWrite,
                                 Cut::CloseAfterSingleBytes,
                                 Cut::ResetAfterOneWrite,
                                 Cut::ResetAfterSingleBytes };

/// Answers each connection with the bytes that were set last, then closes or resets it.
class CutAnswerServer
{
public:
  CutAnswerServer()
    : mThread([this] { serve(); })
  {
  }
  CutAnswerServer(const CutAnswerServer&) = delete;
  CutAnswerServer& operator=(const CutAnswerServer&) = delete;
  ~CutAnswerServer()
  {
    mStopped = true;
    mThread.join();
  }

  /// Lets the client read what was sent before a reset discards it.
  static constexpr std::chrono::microseconds kReadTime{ 200 };

  /// \param aReadTime  time between the last byte of the answer and a reset
  void setAnswer(std::string aBytes, Cut aCut, std::chrono::microseconds aReadTime = kReadTime)
  {
    const std::lock_guard lock{ mMutex };
    mBytes = std::move(aBytes);
    mCut = aCut;
    mReadTime = aReadTime;
  }

private:
  void serve()
  {
    while (!mStopped) {
      const int connection = mListener.accept();
      if (connection >= 0) {
        answer(connection);
      }
    }
  }
  void answer(int aConnection)
  {
    char request[4096];
    (void)::recv(aConnection, request, sizeof(request), 0);
    const std::lock_guard lock{ mMutex };
    const bool singleBytes =
      mCut == Cut::CloseAfterSingleBytes || mCut == Cut::ResetAfterSingleBytes;
    const int yes = 1;
    ::setsockopt(aConnection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const std::size_t step = singleBytes ? 1 : std::max<std::size_t>(mBytes.size(), 1);
    for (std::size_t at = 0; at < mBytes.size();) {
      const ssize_t sent =
        ::send(aConnection, mBytes.data() + at, std::min(step, mBytes.size() - at), MSG_NOSIGNAL);
      if (sent < 0) {
        break;
      }
      at += static_cast<std::size_t>(sent);
    }
    if (mCut == Cut::ResetAfterOneWrite || mCut == Cut::ResetAfterSingleBytes) {
      std::this_thread::sleep_for(mReadTime);
      const linger resetOnClose{ 1, 0 };
      ::setsockopt(aConnection, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    }
    ::close(aConnection);
  }

  std::mutex mMutex;
  std::string mBytes;
  Cut mCut = Cut::CloseAfterOneWrite;
  std::chrono::microseconds mReadTime = kReadTime;
  std::atomic<bool> mStopped = false;
  PolledListener mListener;
  std::thread mThread;
};

/// An answer of a target, and what a caller may take as whole.
struct SampleAnswer
{
  const char* mName;
  std::string mBytes;
  std::string mBody;
  const char* mMethod = "GET";
  /// The body has no length and ends when the connection is closed.
  bool mEndsAtClose = false;
  int mStatus = 200;

  /// \returns the number of bytes without which the answer is not whole.
  std::size_t wholeFrom() const { return mBytes.size() - (mEndsAtClose ? mBody.size() : 0); }
  /// \returns the body that arrives with the first bytes of the answer.
  std::string bodyOf(std::size_t aBytes) const
  {
    return mEndsAtClose ? mBody.substr(0, aBytes - wholeFrom()) : mBody;
  }
};

/// \returns answers to request id-1 in every framing that a target may use.
inline std::vector<SampleAnswer> sampleAnswers()
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string ids = "X-Request-Id: id-1\r\nX-Response-Signature: t1.id-1\r\n";
  const std::string chunks = "6\r\nhello \r\n5;a=b\r\nworld\r\n0\r\n";
  return {
    { "with a length", ok + ids + "Content-Length: 11\r\n\r\nhello world", "hello world" },
    { "length first", ok + "Content-Length: 11\r\n" + ids + "\r\nhello world", "hello world" },
    { "empty", ok + ids + "Content-Length: 0\r\n\r\n", "" },
    { "chunked", ok + ids + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", "hello world" },
    { "chunked with trailers",
      ok + ids + "Transfer-Encoding: Chunked\r\n\r\n" + chunks + "X-A: 1\r\nX-B: 2\r\n\r\n",
      "hello world" },
    { "chunked and empty", ok + ids + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "" },
    { "without a length", ok + ids + "\r\nhello world", "hello world", "GET", true },
    { "HTTP/1.0",
      "HTTP/1.0 200 OK\r\n" + ids + "Connection: close\r\n\r\nhello world",
      "hello world",
      "GET",
      true },
    { "HTTP/1.0 with a length",
      "HTTP/1.0 200 OK\r\n" + ids + "Content-Length: 11\r\n\r\nhello world",
      "hello world" },
    { "no content", "HTTP/1.1 204 No Content\r\n" + ids + "\r\n", "", "GET", false, 204 },
    { "not modified",
      "HTTP/1.1 304 Not Modified\r\n" + ids + "Content-Length: 11\r\n\r\n",
      "",
      "GET",
      false,
      304 },
    { "answer to HEAD", ok + ids + "Content-Length: 11\r\n\r\n", "", "HEAD" },
    { "after informational answers",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + ids +
        "Content-Length: 11\r\n\r\nhello world",
      "hello world" },
    { "folded and odd headers",
      ok + "X-Fold: a\r\n b\r\nX-Empty:\r\nx-no-space:1\r\n" + ids +
        "cOnTeNt-LeNgTh:   11  \r\n\r\nhello world",
      "hello world" },
    { "no reason",
      "HTTP/1.1 200\r\n" + ids + "Content-Length: 11\r\n\r\nhello world",
      "hello world" },
    { "line feeds only",
      "HTTP/1.1 200 OK\nX-Request-Id: id-1\nX-Response-Signature: t1.id-1\n"
      "Content-Length: 11\n\nhello world",
      "hello world" },
    { "failure",
      "HTTP/1.1 500 Failed\r\n" + ids + "Content-Length: 4\r\n\r\noops",
      "oops",
      "GET",
      false,
      500 },
  };
}

} // namespace bulrushrun
