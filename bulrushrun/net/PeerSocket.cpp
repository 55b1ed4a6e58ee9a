#include "bulrushrun/net/PeerSocket.h"

#include "bulrushrun/net/Sockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace bulrushrun {

namespace {

/// Upper bound of the size of an IPv4 datagram.
constexpr std::size_t kMaxDatagramBytes = std::size_t{ 64 } * 1024;
/// Datagrams read in one iteration of the event loop. The limit keeps a flood of them from
/// starving all other work.
constexpr int kMaxDatagramsPerIteration = 64;

} // namespace

PeerSocket::PeerSocket(EventLoop& aLoop, const Endpoint& aEndpoint, Receiver aReceiver)
  : mReceiver(std::move(aReceiver))
  , mDescriptor(openDatagramSocket(aEndpoint))
{
  aLoop.watch(mDescriptor, [this] { receiveAll(); });
}

PeerSocket::~PeerSocket()
{
  ::close(mDescriptor);
}

void PeerSocket::receiveAll()
{
  std::array<char, kMaxDatagramBytes> bytes;
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    const ssize_t size = ::recv(mDescriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0) {
      return;
    }
    mReceiver(std::string{ bytes.data(), static_cast<std::size_t>(size) });
  }
}

void PeerSocket::send(const Endpoint& aPeer, const std::string& aBytes) const
{
  const sockaddr_in address = socketAddress(aPeer);
  (void)::sendto(mDescriptor,
                 aBytes.data(),
                 aBytes.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address));
}

} // namespace bulrushrun
