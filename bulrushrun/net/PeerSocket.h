#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/net/EventLoop.h"

#include <functional>
#include <string>

namespace bulrushrun {

/// \brief Control messages between instances: one datagram each, over UDP. Sending never waits;
/// what does not fit is lost, as datagrams may be anyway.
class PeerSocket
{
public:
  using Receiver = std::function<void(const std::string&)>;

  /// \brief Opens the address.
  /// \throws std::system_error when it can't be bound
  PeerSocket(EventLoop& aLoop, const Endpoint& aEndpoint, Receiver aReceiver);
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;
  PeerSocket(PeerSocket&&) = delete;
  PeerSocket& operator=(PeerSocket&&) = delete;
  ~PeerSocket();

  /// \brief Sends a message, or loses it.
  void send(const Endpoint& aPeer, const std::string& aBytes) const;

private:
  void receiveAll();

  Receiver mReceiver;
  int mDescriptor;
};

} // namespace bulrushrun
