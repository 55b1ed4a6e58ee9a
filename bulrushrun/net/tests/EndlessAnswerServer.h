#pragma once

#include "bulrushrun/net/tests/RawByteServer.h"

#include <poll.h>

#include <atomic>
#include <mutex>

namespace bulrushrun {

/// Answers each connection with a start and then with a part over and over, as fast as the peer
/// reads, until the peer closes the connection.
class EndlessAnswerServer
{
public:
  EndlessAnswerServer()
    : mThread([this] { serve(); })
  {
  }
  EndlessAnswerServer(const EndlessAnswerServer&) = delete;
  EndlessAnswerServer& operator=(const EndlessAnswerServer&) = delete;
  ~EndlessAnswerServer()
  {
    mStopped = true;
    mThread.join();
  }

  void setAnswer(std::string aStart, const std::string& aRepeated)
  {
    constexpr std::size_t kWriteBytes = 100'000;
    const std::lock_guard lock{ mMutex };
    mStart = std::move(aStart);
    mRepeated.clear();
    while (mRepeated.size() < kWriteBytes) {
      mRepeated += aRepeated;
    }
    mSentBytes = 0;
  }
  /// \returns the bytes that the peers have accepted since the answer was set.
  std::size_t sentBytes() const { return mSentBytes; }

private:
  static constexpr int kPollMillis = 5;

  void serve()
  {
    while (!mStopped) {
      const int connection = mListener.accept();
      if (connection >= 0) {
        answer(connection);
        ::close(connection);
      }
    }
  }
  void answer(int aConnection)
  {
    char request[4096];
    (void)::recv(aConnection, request, sizeof(request), 0);
    const std::lock_guard lock{ mMutex };
    bool open = sendAll(aConnection, mStart);
    while (open) {
      open = sendAll(aConnection, mRepeated);
    }
  }
  /// \returns false when the peer has closed the connection.
  bool sendAll(int aConnection, std::string_view aBytes)
  {
    while (!aBytes.empty() && !mStopped) {
      pollfd writable{ aConnection, POLLOUT, 0 };
      if (::poll(&writable, 1, kPollMillis) != 1) {
        continue;
      }
      const ssize_t sent =
        ::send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
      mSentBytes += static_cast<std::size_t>(sent);
    }
    return !mStopped;
  }

  std::mutex mMutex;
  std::string mStart;
  std::string mRepeated;
  std::atomic<std::size_t> mSentBytes = 0;
  std::atomic<bool> mStopped = false;
  PolledListener mListener;
  std::thread mThread;
};

} // namespace bulrushrun
