#pragma once

#include "bulrushrun/host/Http.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Why a request is refused before anything handles it.
struct RequestError
{
  int mStatus = 400;
  std::string mText;
};

/// \brief Checks a request's line: the method is one that is carried, the path has no dot segments,
/// plain or percent-encoded, no backslash and no control character.
std::optional<RequestError> validateRequestLine(std::string_view aMethod, std::string_view aPath);

/// \brief Checks the raw head of an HTTP/1 request for framing that can be read in two ways: more
/// than one Content-Length or Transfer-Encoding, both of them, or a length that is no number.
std::optional<RequestError> validateFraming(std::string_view aRawHead);

/// \brief Checks that the headers are not oversize (431) and that no control header
/// (Idempotency-Key, Bulrush-…) stands twice (400).
std::optional<RequestError> validateHeaders(const Headers& aHeaders);

} // namespace bulrushrun
