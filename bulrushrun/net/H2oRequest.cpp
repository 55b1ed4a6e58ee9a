#include "bulrushrun/net/H2oRequest.h"

#include <string>

namespace bulrushrun {

namespace {

/// \returns the size of a head, whose lines end with CRLF or LF; searches from a position inside
/// the request line.
std::optional<std::size_t> headSize(std::string_view aBytes, std::size_t aFrom)
{
  for (std::size_t at = aBytes.find('\n', aFrom); at != std::string_view::npos;
       at = aBytes.find('\n', at + 1)) {
    const std::string_view next = aBytes.substr(at + 1);
    if (next.starts_with('\n')) {
      return at + 2;
    }
    if (next.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return std::nullopt;
}

} // namespace

HttpRequest toHttpRequest(const h2o_req_t& aRequest)
{
  HttpRequest request;
  request.mMethod = toView(aRequest.input.method);
  request.mPath = toView(aRequest.input.path);
  request.mAuthority = toView(aRequest.input.authority);
  request.mHeaders.reserve(aRequest.headers.size);
  for (std::size_t i = 0; i < aRequest.headers.size; ++i) {
    const h2o_header_t& header = aRequest.headers.entries[i];
    request.mHeaders.push_back(
      { std::string{ toView(*header.name) }, std::string{ toView(header.value) } });
  }
  return request;
}

std::optional<std::size_t> bufferedSize(const h2o_req_t& aRequest)
{
  const h2o_socket_t* socket = socketOf(aRequest);
  const std::string_view bytes{ socket->input->bytes, socket->input->size };
  const auto offsetOf = [&](const char* aPosition) -> std::optional<std::size_t> {
    return aPosition >= bytes.data() && aPosition <= bytes.data() + bytes.size()
             ? std::optional<std::size_t>{ aPosition - bytes.data() }
             : std::nullopt;
  };
  if (aRequest.entity.base != nullptr) {
    return offsetOf(aRequest.entity.base + aRequest.entity.len);
  }
  // h2o copies the strings of a request with a body only, so these point into the buffer.
  const std::optional<std::size_t> path = offsetOf(aRequest.input.path.base);
  return path ? headSize(bytes, *path) : std::nullopt;
}

} // namespace bulrushrun
