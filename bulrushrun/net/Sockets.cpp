#include "bulrushrun/net/Sockets.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace bulrushrun {

namespace {

constexpr int kBacklog = 1024;

[[noreturn]] void throwSystemError(int aDescriptor, const Endpoint& aEndpoint)
{
  const int reason = errno;
  if (aDescriptor >= 0) {
    ::close(aDescriptor);
  }
  throw std::system_error(reason, std::generic_category(), "cannot listen on " + aEndpoint.text());
}

/// \returns a non-blocking socket of the given type, bound to the address.
int openBoundSocket(int aType, const Endpoint& aEndpoint)
{
  const int descriptor = ::socket(AF_INET, aType | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) {
    throwSystemError(descriptor, aEndpoint);
  }
  const int yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = socketAddress(aEndpoint);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    throwSystemError(descriptor, aEndpoint);
  }
  return descriptor;
}

} // namespace

sockaddr_in socketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  address.sin_addr.s_addr = htonl(aEndpoint.mAddress);
  return address;
}

int openListener(const Endpoint& aEndpoint)
{
  const int descriptor = openBoundSocket(SOCK_STREAM, aEndpoint);
  if (::listen(descriptor, kBacklog) != 0) {
    throwSystemError(descriptor, aEndpoint);
  }
  return descriptor;
}

int openDatagramSocket(const Endpoint& aEndpoint)
{
  return openBoundSocket(SOCK_DGRAM, aEndpoint);
}

bool isClosedByPeer(int aDescriptor)
{
  pollfd state{ aDescriptor, POLLRDHUP, 0 };
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool isConnectionLost(int aDescriptor)
{
  pollfd state{ aDescriptor, 0, 0 };
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

bool hasUnacknowledgedBytes(int aDescriptor)
{
  int bytes = 0;
  return ::ioctl(aDescriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace bulrushrun
