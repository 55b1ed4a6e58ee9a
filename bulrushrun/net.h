#pragma once

/// \file \brief Umbrella header of the net module: event loop, HTTP client and server, UDP
/// messages, log.

#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/SignalWatcher.h"
// HTTP server.
#include "bulrushrun/net/HttpResponder.h"
#include "bulrushrun/net/HttpServer.h"
#include "bulrushrun/net/InputThrottle.h"
#include "bulrushrun/net/RequestPipeline.h"
#include "bulrushrun/net/RequestValidation.h"
#include "bulrushrun/net/Sockets.h"
// HTTP client.
#include "bulrushrun/net/HttpClient.h"
#include "bulrushrun/net/HttpConnection.h"
// UDP control messages, log and crash handler.
#include "bulrushrun/net/Allocator.h"
#include "bulrushrun/net/CrashHandler.h"
#include "bulrushrun/net/EventLogger.h"
#include "bulrushrun/net/PeerSocket.h"
// Implementations of the Host concept.
#include "bulrushrun/net/DaemonHost.h"
#include "bulrushrun/net/EventLoopHost.h"
