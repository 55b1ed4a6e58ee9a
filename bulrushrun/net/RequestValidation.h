#pragma once

#include "bulrushrun/host/Http.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Status and text with which an invalid request is rejected before any handler sees it.
struct RequestError
{
  int mStatus = 400;
  std::string mText;
};

/// \brief Validates a request line: the method is supported, and the path contains no dot
/// segments, plain or percent-encoded, no backslash, no space and no control character.
std::optional<RequestError> validateRequestLine(std::string_view aMethod, std::string_view aPath);

/// \brief Rejects an HTTP/1 request with ambiguous framing, which allows request smuggling: more
/// than one Content-Length or Transfer-Encoding, both of them, or a length that is not a number.
std::optional<RequestError> validateFraming(std::string_view aRawHead);

/// \brief Rejects headers that are too large (431) and control headers (Idempotency-Key,
/// Bulrush-…) that appear more than once (400).
std::optional<RequestError> validateHeaders(const Headers& aHeaders);

} // namespace bulrushrun
