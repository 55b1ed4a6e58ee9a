#pragma once

#include "bulrushrun/host/Http.h"

#include <cstddef>
#include <string_view>

namespace bulrushrun {

/// \brief Whether a request may be started before the ones before it on its connection have been
/// answered, as far as its form decides.
enum class PipelinedForm
{
  /// More bytes are needed.
  Incomplete,
  /// It may have a body or change the connection, or parsers may read it differently.
  MustWait,
  MayRunAhead,
};

/// \brief A request without a body, as h2o would present it.
struct PipelinedRequest
{
  HttpRequest mRequest;
  /// Size of the request in bytes.
  std::size_t mSize = 0;
  /// The connection ends after its response.
  bool mClosesConnection = false;
};

/// \brief Parses the request at the start of \a aBytes.
///
/// Only requests that leave no room for interpretation may run ahead: HTTP/1.1, a path in origin
/// form, one Host, CRLF at each line end, no folded lines, printable ASCII only, no body, no
/// Expect, Upgrade or Transfer-Encoding. \param aParsed  is set only for PipelinedForm::MayRunAhead
PipelinedForm parsePipelinedRequest(std::string_view aBytes, PipelinedRequest& aParsed);

} // namespace bulrushrun
