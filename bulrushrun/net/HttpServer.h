#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/HttpResponder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief What a server does with its requests.
struct HttpHandlers
{
  /// Given a raw path, returns a ready JSON body for it, or nullptr; may be empty. Asked first.
  std::function<const std::string*(std::string_view)> mCachedBody;
  /// Handles every other request.
  std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)> mRequest;
};

/// \brief HTTP/1.1 and HTTP/2 server on one address, by h2o.
///
/// Requests with conflicting framing, dot segments in the path or methods that are not carried are
/// refused here with a 4xx before any handler sees them.
class HttpServer
{
public:
  /// \brief Opens the address.
  /// \throws std::system_error when it can't be bound
  HttpServer(EventLoop& aLoop, Endpoint aEndpoint, HttpHandlers aHandlers);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  HttpServer(HttpServer&&) = delete;
  HttpServer& operator=(HttpServer&&) = delete;
  /// \brief Closes the listening socket. Connections that are open must not be served any more.
  ~HttpServer();

  /// \brief Sets how long a connection may stay idle, and how long a body may be, in bytes.
  void setLimits(Duration aIdle, std::size_t aBodyBytes);

  /// \brief \returns the requests whose answers have not gone out whole.
  std::size_t inProgress() const { return mInProgress; }

  /// \brief Closes the listening socket and lets connections end after their current request.
  void close();

private:
  /// h2o's handler, with the way back to the server.
  struct Handler
  {
    h2o_handler_t mSuper;
    HttpServer* mServer;
  };

  static int onRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest);
  static void onAccept(h2o_socket_t* aListener, const char* aError);

  int handle(h2o_req_t* aRequest);
  void listen(EventLoop& aLoop, Endpoint aEndpoint);
  void closeListener();

  HttpHandlers mHandlers;
  h2o_globalconf_t mConfiguration{};
  h2o_context_t mContext{};
  h2o_accept_ctx_t mAcceptContext{};
  h2o_socket_t* mListener = nullptr;
  std::size_t mInProgress = 0;
};

} // namespace bulrushrun
