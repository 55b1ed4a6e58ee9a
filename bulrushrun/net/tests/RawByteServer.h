#pragma once

#include "bulrushrun/net.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>
#include <utility>

namespace bulrushrun {

/// Loopback address that no other test process uses at the same time: contains the process id.
inline Endpoint processLocalEndpoint(std::uint32_t aLastOctet)
{
  const std::uint32_t process = static_cast<std::uint32_t>(::getpid()) & 0xffffU;
  return { 0x7f000000U | (process << 8U) | aLastOctet, 18080 };
}

inline const Endpoint kServer = processLocalEndpoint(1);
inline const Endpoint kPeer = processLocalEndpoint(2);
inline const Endpoint kUnusedEndpoint = processLocalEndpoint(3);

/// Listens at kPeer and accepts connections without waiting for long.
class PolledListener
{
public:
  PolledListener()
    : mListener(openListener(kPeer))
  {
  }
  PolledListener(const PolledListener&) = delete;
  PolledListener& operator=(const PolledListener&) = delete;
  ~PolledListener() { ::close(mListener); }

  /// \returns a connection, or a negative number when none came within a few milliseconds.
  int accept() const
  {
    constexpr int kPollMillis = 5;
    pollfd ready{ mListener, POLLIN, 0 };
    return ::poll(&ready, 1, kPollMillis) == 1 ? ::accept(mListener, nullptr, nullptr) : -1;
  }

private:
  int mListener;
};

/// Accepts one connection, reads the request, sends fixed bytes and closes the connection.
class RawByteServer
{
public:
  explicit RawByteServer(std::string aBytes)
    : mBytes(std::move(aBytes))
    , mListener(openListener(kPeer))
    , mThread([this] { serve(); })
  {
  }
  RawByteServer(const RawByteServer&) = delete;
  RawByteServer& operator=(const RawByteServer&) = delete;
  ~RawByteServer()
  {
    mThread.join();
    ::close(mListener);
  }

private:
  void serve()
  {
    int connection = -1;
    while ((connection = ::accept(mListener, nullptr, nullptr)) < 0) {
      std::this_thread::yield();
    }
    char request[4096];
    (void)::recv(connection, request, sizeof(request), 0);
    (void)::send(connection, mBytes.data(), mBytes.size(), MSG_NOSIGNAL);
    ::close(connection);
  }

  std::string mBytes;
  int mListener;
  std::thread mThread;
};

} // namespace bulrushrun
