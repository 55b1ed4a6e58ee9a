#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/net/LoopHost.h"
#include "bulrushrun/store.h"

#include <utility>

namespace bulrushrun {

/// \brief Surroundings of a node in the daemon: those of the loop, and the platform's client.
/// \sa Host
class DaemonHost : public LoopHost
{
public:
  DaemonHost(EventLoop& aLoop,
             const Endpoint& aPlatform,
             const Endpoint& aPeer,
             PeerSocket::Receiver aReceiver)
    : LoopHost(aLoop, aPeer, std::move(aReceiver))
    , mPlatform(*this, aPlatform)
  {
  }

  PlatformClient<DaemonHost>& platform() { return mPlatform; }

private:
  PlatformClient<DaemonHost> mPlatform;
};

static_assert(Host<DaemonHost>);

} // namespace bulrushrun
