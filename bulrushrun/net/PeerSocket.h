#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/net/EventLoop.h"

#include <functional>
#include <string>

namespace bulrushrun {

/// \brief Sends and receives control messages between instances, one UDP datagram each. Sending
/// never blocks; a message that does not fit into the socket's buffer is lost, as any datagram may
/// be.
class PeerSocket
{
public:
  using Receiver = std::function<void(const std::string&)>;

  /// \brief Binds a UDP socket to the address.
  /// \throws std::system_error when it can't be bound
  PeerSocket(EventLoop& aLoop, const Endpoint& aEndpoint, Receiver aReceiver);
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;
  PeerSocket(PeerSocket&&) = delete;
  PeerSocket& operator=(PeerSocket&&) = delete;
  ~PeerSocket();

  /// \brief Sends a message; delivery is not guaranteed.
  void send(const Endpoint& aPeer, const std::string& aBytes) const;

private:
  void receiveAll();

  Receiver mReceiver;
  int mDescriptor;
};

} // namespace bulrushrun
