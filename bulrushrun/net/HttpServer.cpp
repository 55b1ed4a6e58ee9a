#include "bulrushrun/net/HttpServer.h"

#include "bulrushrun/net/H2oRequest.h"
#include "bulrushrun/net/RequestValidation.h"
#include "bulrushrun/net/Sockets.h"

#include <h2o/http1.h>

#include <sys/socket.h>

#include <utility>

namespace bulrushrun {

namespace {

constexpr std::uint64_t kRequestTimeoutMillis = 10000;
/// Bounds what one read of a connection brings.
constexpr int kReceiveBufferBytes = 256 * 1024;
/// Smaller bodies are copied, which costs less than a loan.
constexpr std::size_t kMinLentBytes = std::size_t{ 16 } * 1024;

/// \returns the raw head of an HTTP/1 request, which is at the start of the socket's input buffer.
std::string_view rawHead(const h2o_req_t& aRequest)
{
  const h2o_socket_t* socket = socketOf(aRequest);
  return { socket->input->bytes, socket->input->size };
}

std::optional<RequestError> validateHead(const h2o_req_t& aRequest)
{
  std::optional<RequestError> error =
    validateRequestLine(toView(aRequest.input.method), toView(aRequest.input.path));
  if (!error && aRequest.version < kHttp2) {
    error = validateFraming(rawHead(aRequest));
  }
  return error;
}

HttpResponse requestErrorResponse(const RequestError& aRequestError)
{
  return { { aRequestError.mStatus,
             { { "Content-Type", "text/plain" }, { "Bulrush-Outcome", "not-run" } },
             std::nullopt },
           aRequestError.mText + "\n" };
}

} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       Endpoint aEndpoint,
                       HttpHandlers aHandlers,
                       std::size_t aMaxBodyBytes)
  : mHandlers(std::move(aHandlers))
  , mPipeline(mHandlers.mMayRunAhead,
              [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                countInProgress(*aResponder);
                mHandlers.mRequest(std::move(aRequest), std::move(aResponder));
              })
  , mInputThrottle(aLoop, mConfiguration, mContext)
{
  h2o_config_init(&mConfiguration);
  mConfiguration.server_name = h2o_iovec_init(H2O_STRLIT("bulrushrun"));
  mConfiguration.max_request_entity_size = aMaxBodyBytes;
  mConfiguration.http1.req_timeout = kRequestTimeoutMillis;
  h2o_hostconf_t* host =
    h2o_config_register_host(&mConfiguration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  Handler* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  handler->mSuper.on_req = onRequest;
  handler->mServer = this;
  h2o_context_init(&mContext, aLoop.raw(), &mConfiguration);
  mAcceptContext.ctx = &mContext;
  mAcceptContext.hosts = mConfiguration.hosts;
  listen(aLoop, aEndpoint);
}

void HttpServer::listen(EventLoop& aLoop, Endpoint aEndpoint)
{
  const int descriptor = openListener(aEndpoint);
  // Accepted connections inherit it.
  ::setsockopt(
    descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  mListener = h2o_evloop_socket_create(aLoop.raw(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  mListener->data = this;
  h2o_socket_read_start(mListener, onAccept);
}

void HttpServer::setLimits(Duration aIdle, std::size_t aBodyBytes)
{
  mContext.http1.req_timeout.timeout = static_cast<std::uint64_t>(toMillis(aIdle));
  mConfiguration.max_request_entity_size = aBodyBytes;
}

HttpServer::~HttpServer()
{
  closeListener();
}

void HttpServer::closeListener()
{
  if (mListener != nullptr) {
    h2o_socket_read_stop(mListener);
    h2o_socket_close(std::exchange(mListener, nullptr));
  }
}

void HttpServer::close()
{
  closeListener();
  h2o_context_request_shutdown(&mContext);
}

void HttpServer::onAccept(h2o_socket_t* aListener, const char* aError)
{
  if (aError != nullptr) {
    return;
  }
  HttpServer* server = static_cast<HttpServer*>(aListener->data);
  h2o_socket_t* socket = h2o_evloop_socket_accept(aListener);
  if (socket != nullptr) {
    h2o_accept(&server->mAcceptContext, socket);
  }
}

int HttpServer::onRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest)
{
  return reinterpret_cast<Handler*>(aHandler)->mServer->handle(aRequest);
}

/// HTTP/2 bodies are copied, because h2o frees them before it ends the request.
SharedBytes HttpServer::takeBody(const h2o_req_t& aRequest, HttpResponder& aResponder)
{
  const std::string_view body =
    aRequest.entity.base == nullptr ? std::string_view{} : toView(aRequest.entity);
  if (!mHandlers.mLendsBodies || aRequest.version >= kHttp2 || body.size() < kMinLentBytes) {
    return std::string{ body };
  }
  const std::shared_ptr<BytesLoan> loan = std::make_shared<BytesLoan>(body);
  aResponder.mOnDisposed = [loan, onDisposed = std::move(aResponder.mOnDisposed)] {
    loan->end();
    onDisposed();
  };
  return loan->bytes();
}

int HttpServer::handle(h2o_req_t* aRequest)
{
  const std::string* cachedBody =
    mHandlers.mCachedBody ? mHandlers.mCachedBody(toView(aRequest->input.path)) : nullptr;
  if (cachedBody != nullptr) {
    aRequest->res.status = 200;
    aRequest->res.reason = "OK";
    h2o_add_header(&aRequest->pool,
                   &aRequest->res.headers,
                   H2O_TOKEN_CONTENT_TYPE,
                   nullptr,
                   H2O_STRLIT("application/json"));
    h2o_send_inline(aRequest, cachedBody->data(), cachedBody->size());
    return 0;
  }
  const bool isHttp1 = aRequest->version < kHttp2;
  const PipelineDelivery delivery = isHttp1 ? mPipeline.deliver(aRequest) : PipelineDelivery::New;
  if (delivery == PipelineDelivery::Attached) {
    mPipeline.watch(aRequest);
    return 0;
  }
  const std::shared_ptr<HttpResponder> responder = HttpResponder::create(aRequest);
  countInProgress(*responder);
  std::optional<RequestError> error =
    delivery == PipelineDelivery::Mismatched
      ? RequestError{ 400, "ambiguous request behind another one" }
      : validateHead(*aRequest);
  if (error) {
    aRequest->http1_is_persistent = 0;
    if (isHttp1) {
      // Unread bytes behind the request are discarded when it ends: the kernel would reset the
      // connection, and with it responses that the caller has not read yet.
      mPipeline.watch(aRequest);
    }
    respond(*responder, requestErrorResponse(*error));
    return 0;
  }
  HttpRequest request = toHttpRequest(*aRequest);
  error = validateHeaders(request.mHeaders);
  if (error) {
    respond(*responder, requestErrorResponse(*error));
    return 0;
  }
  request.mBody = takeBody(*aRequest, *responder);
  mHandlers.mRequest(std::move(request), responder);
  if (isHttp1 && !responder->hasEnded()) {
    mPipeline.watch(aRequest);
  }
  return 0;
}

void HttpServer::countInProgress(HttpResponder& aResponder)
{
  ++mInProgress;
  aResponder.mOnDisposed = [this] { --mInProgress; };
}

} // namespace bulrushrun
