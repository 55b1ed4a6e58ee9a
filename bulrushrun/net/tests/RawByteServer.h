#pragma once

#include "bulrushrun/net.h"

#include <arpa/inet.h>
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
