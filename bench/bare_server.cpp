#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/Sockets.h"

#include <h2o.h>
#include <h2o/http1.h>

#include <string>

/// \file
/// \brief Bare h2o handler that sends the same response to every request: upper bound for the
/// throughput of lookups.

namespace {

using namespace bulrushrun;

const std::string& responseBody()
{
  static const std::string kBody(350, 'x');
  return kBody;
}

int onRequest(h2o_handler_t*, h2o_req_t* aRequest)
{
  aRequest->res.status = 200;
  aRequest->res.reason = "OK";
  h2o_add_header(&aRequest->pool,
                 &aRequest->res.headers,
                 H2O_TOKEN_CONTENT_TYPE,
                 nullptr,
                 H2O_STRLIT("application/json"));
  h2o_send_inline(aRequest, responseBody().data(), responseBody().size());
  return 0;
}

void onAccept(h2o_socket_t* aListener, const char* aError)
{
  h2o_socket_t* socket = aError == nullptr ? h2o_evloop_socket_accept(aListener) : nullptr;
  if (socket != nullptr) {
    h2o_accept(static_cast<h2o_accept_ctx_t*>(aListener->data), socket);
  }
}

} // namespace

int main()
{
  EventLoop loop;
  h2o_globalconf_t configuration{};
  h2o_config_init(&configuration);
  h2o_hostconf_t* host =
    h2o_config_register_host(&configuration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_create_handler(h2o_config_register_path(host, "/", 0), sizeof(h2o_handler_t))->on_req =
    onRequest;
  h2o_context_t context{};
  h2o_context_init(&context, loop.raw(), &configuration);
  h2o_accept_ctx_t accept{};
  accept.ctx = &context;
  accept.hosts = configuration.hosts;
  h2o_socket_t* listener = h2o_evloop_socket_create(
    loop.raw(), openListener(*parseEndpoint("127.0.3.1:8080")), H2O_SOCKET_FLAG_DONT_READ);
  listener->data = &accept;
  h2o_socket_read_start(listener, onAccept);
  loop.run();
  return 0;
}
