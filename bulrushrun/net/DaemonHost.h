#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/net/EventLoopHost.h"
#include "bulrushrun/store.h"

#include <utility>

namespace bulrushrun {

/// \brief Host of an instance in the daemon: an EventLoopHost with a client of the platform.
/// \sa Host
class DaemonHost : public EventLoopHost
{
public:
  DaemonHost(EventLoop& aLoop,
             const Endpoint& aPlatform,
             const Endpoint& aPeer,
             PeerSocket::Receiver aReceiver)
    : EventLoopHost(aLoop, aPeer, std::move(aReceiver))
    , mPlatform(*this, aPlatform)
  {
  }

  PlatformClient<DaemonHost>& platform() { return mPlatform; }

private:
  PlatformClient<DaemonHost> mPlatform;
};

static_assert(Host<DaemonHost>);

} // namespace bulrushrun
