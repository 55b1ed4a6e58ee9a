#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/HttpResponder.h"
#include "bulrushrun/net/InputThrottle.h"
#include "bulrushrun/net/RequestPipeline.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Callbacks that handle the requests of a server.
struct HttpHandlers
{
  /// Returns a prebuilt JSON body for a raw path, or nullptr. Called first; may be empty.
  std::function<const std::string*(std::string_view)> mCachedBody;
  /// Handles all other requests.
  std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)> mRequest;
  /// Large bodies of HTTP/1 requests are lent for the duration of the request, not copied. When the
  /// caller disconnects, the handler must abort the exchanges that send such a body. \sa BytesLoan
  bool mLendsBodies = false;
  /// Returns true for a request without a body that may run while earlier requests of its
  /// connection are in progress; empty: none may. \sa RequestPipeline
  std::function<bool(const HttpRequest&)> mMayRunAhead = {};
};

/// \brief HTTP/1.1 and HTTP/2 server on one address, built on h2o.
///
/// Rejects requests with conflicting framing, dot segments in the path or unsupported methods with
/// a 4xx status before any handler sees them.
class HttpServer
{
public:
  /// \brief Listens on the address.
  /// \param aMaxBodyBytes  a request with a larger body is refused with 413
  /// \throws std::system_error when it can't be bound
  HttpServer(EventLoop& aLoop,
             Endpoint aEndpoint,
             HttpHandlers aHandlers,
             std::size_t aMaxBodyBytes = kMaxRequestBodyBytes);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  HttpServer(HttpServer&&) = delete;
  HttpServer& operator=(HttpServer&&) = delete;
  /// \brief Closes the listening socket. Connections that are still open must not be served after
  /// this.
  ~HttpServer();

  /// \brief Sets the idle timeout of connections and the maximum size of a request body in bytes.
  void setLimits(Duration aIdle, std::size_t aBodyBytes);

  /// \brief \returns what bounds the bytes of all requests.
  InputThrottle& inputThrottle() { return mInputThrottle; }

  /// \brief \returns what starts requests ahead of their turn.
  RequestPipeline& pipeline() { return mPipeline; }

  /// \brief \returns the number of requests whose responses have not been sent completely.
  std::size_t requestsInProgress() const { return mInProgress; }

  /// \brief Closes the listening socket, and each connection after its current request.
  void close();

private:
  /// h2o's handler, with a pointer back to the server.
  struct Handler
  {
    h2o_handler_t mSuper;
    HttpServer* mServer;
  };

  static int onRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest);
  static void onAccept(h2o_socket_t* aListener, const char* aError);

  int handle(h2o_req_t* aRequest);
  SharedBytes takeBody(const h2o_req_t& aRequest, HttpResponder& aResponder);
  void countInProgress(HttpResponder& aResponder);
  void listen(EventLoop& aLoop, Endpoint aEndpoint);
  void closeListener();

  HttpHandlers mHandlers;
  h2o_globalconf_t mConfiguration{};
  h2o_context_t mContext{};
  h2o_accept_ctx_t mAcceptContext{};
  RequestPipeline mPipeline;
  /// Destroyed before mPipeline, whose callbacks it gives back to the sockets.
  InputThrottle mInputThrottle;
  h2o_socket_t* mListener = nullptr;
  std::size_t mInProgress = 0;
};

} // namespace bulrushrun
