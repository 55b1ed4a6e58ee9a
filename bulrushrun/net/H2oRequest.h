#pragma once

#include "bulrushrun/host/Http.h"

#include <h2o.h>

#include <cstddef>
#include <optional>
#include <string_view>

/// \file
/// \brief Reading of requests that h2o received.

namespace bulrushrun {

/// Version HTTP/2 as h2o represents it.
inline constexpr int kHttp2 = 0x200;

inline std::string_view toView(const h2o_iovec_t& aVector)
{
  return { aVector.base, aVector.len };
}

/// \brief \returns the socket of an HTTP/1 request.
inline h2o_socket_t* socketOf(const h2o_req_t& aRequest)
{
  return aRequest.conn->callbacks->get_socket(aRequest.conn);
}

/// \brief \returns the request without its body.
HttpRequest toHttpRequest(const h2o_req_t& aRequest);

/// \brief \returns the size in bytes of an HTTP/1 request, with its body, at the start of the
/// socket's input buffer; nothing when its end can't be determined. Chunks of a body count as h2o
/// leaves them in the buffer.
std::optional<std::size_t> bufferedSize(const h2o_req_t& aRequest);

} // namespace bulrushrun
