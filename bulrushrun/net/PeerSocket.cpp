#include "bulrushrun/net/PeerSocket.h"

#include "bulrushrun/net/Sockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace bulrushrun {

namespace {

/// Largest datagram that IPv4 carries.
constexpr std::size_t kMaxDatagramBytes = std::size_t{ 64 } * 1024;
/// Datagrams taken in one round of the loop, so that a flood does not starve everything else.
constexpr int kMaxPerRound = 64;

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
  for (int i = 0; i < kMaxPerRound; ++i) {
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
