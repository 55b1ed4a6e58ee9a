#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief HTTP messages, independent of the transport.

namespace bulrushrun {

/// \brief One header field; its name is case-insensitive.
struct Header
{
  std::string mName;
  std::string mValue;
};

using Headers = std::vector<Header>;

/// \brief \returns true when both names are equal, ignoring the case of ASCII letters.
bool equalHeaderNames(std::string_view aLeft, std::string_view aRight);

/// \brief \returns the value of the first header with that name, or nullptr.
const std::string* findHeader(const Headers& aHeaders, std::string_view aName);

/// \brief Sets a header and removes all others with the same name.
void setHeader(Headers& aHeaders, std::string_view aName, std::string aValue);

/// \brief \returns true for framing and connection headers, which apply to one connection only.
bool isHopByHop(std::string_view aName);

/// \brief \returns the headers that may be forwarded to the next hop.
Headers endToEndHeaders(const Headers& aHeaders);

/// \brief Request with its complete body.
struct HttpRequest
{
  std::string mMethod;
  /// Path and query, normalised.
  std::string mPath;
  Headers mHeaders;
  SharedBytes mBody;
  /// Host of the request; the address of the receiver when empty.
  std::string mAuthority = {};
};

/// \brief Status and headers of a response, without the body.
struct ResponseHead
{
  int mStatus = 200;
  Headers mHeaders;
  /// Body length in bytes, if known in advance.
  std::optional<std::uint64_t> mLength = {};
  /// The connection is to be closed after the response.
  bool mCloseAfter = false;
};

/// \brief \returns true for a response that ends after its head, even if that states a length.
bool isStatusWithoutBody(int aStatus);

/// \brief Response with its complete body.
struct HttpResponse
{
  ResponseHead mHead;
  std::string mBody;
};

/// \brief Result of an HTTP exchange with a target, a peer or the platform.
enum class ExchangeResult
{
  /// The complete response was received, and its end was verified.
  Complete,
  /// No byte of the request can have reached the server.
  NotSent,
  /// Bytes of the request may have reached the server, but no complete response was received.
  Interrupted,
};

/// \brief Callbacks of one exchange. None runs after mOnEnd.
struct ExchangeListener
{
  /// A response body without a length may be delimited by the end of the connection.
  bool mBodyMayEndAtClose = false;
  /// Runs before the request is written to a new connection, which may have taken long to
  /// establish. \returns false when the exchange was aborted instead; may be empty.
  std::function<bool()> mBeforeSend;
  /// \returns false for a response to another request, which is skipped; may be empty.
  std::function<bool(const ResponseHead&)> mIsMatchingResponse;
  std::function<void(const ResponseHead&)> mOnHead;
  /// \returns false to stop reading until Host::resumeExchange.
  std::function<bool(std::string_view)> mOnBody;
  /// Receives the reason when the result is not ExchangeResult::Complete.
  std::function<void(ExchangeResult, const std::string&)> mOnEnd;
};

/// \brief Restricts the use of idle connections for an exchange.
enum class ConnectionUse
{
  /// Any idle connection may be used.
  Pooled,
  /// Only a new connection, or one that was verified recently.
  RecentlyVerified,
  /// Only a new connection.
  New,
};

} // namespace bulrushrun
