#pragma once

#include "bulrushrun/core/Endpoint.h"

#include <netinet/in.h>

namespace bulrushrun {

/// \brief \returns the address in the form that socket calls take.
sockaddr_in socketAddress(const Endpoint& aEndpoint);

/// \brief Opens a listening TCP socket.
/// \returns its descriptor, which the caller owns
/// \throws std::system_error naming the address when it can't be bound
int openListener(const Endpoint& aEndpoint);

/// \brief Opens a UDP socket at an address.
/// \returns its descriptor, which the caller owns
/// \throws std::system_error naming the address when it can't be bound
int openDatagramSocket(const Endpoint& aEndpoint);

/// \brief \returns true when the peer has closed its side of a TCP connection, also with unread
/// bytes before that.
bool isClosedByPeer(int aDescriptor);

/// \brief \returns true when a TCP connection was reset or given up, also when an earlier call has
/// taken the error; false when the peer has closed its side only.
bool isConnectionLost(int aDescriptor);

/// \brief \returns true when the peer has not acknowledged all bytes that the kernel has taken.
bool hasUnacknowledgedBytes(int aDescriptor);

} // namespace bulrushrun
