#pragma once

/// \file
/// \brief Umbrella of the net slice: the loop, HTTP by h2o, control messages as datagrams, the log.

#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/SignalWatcher.h"
// HTTP server.
#include "bulrushrun/net/HttpResponder.h"
#include "bulrushrun/net/HttpServer.h"
#include "bulrushrun/net/RequestValidation.h"
#include "bulrushrun/net/Sockets.h"
// HTTP client.
#include "bulrushrun/net/HttpClient.h"
#include "bulrushrun/net/HttpConnection.h"
// Control messages and the log.
#include "bulrushrun/net/CrashHandler.h"
#include "bulrushrun/net/EventLogger.h"
#include "bulrushrun/net/PeerSocket.h"
// All of them behind the Host concept.
#include "bulrushrun/net/DaemonHost.h"
#include "bulrushrun/net/EventLoopHost.h"
