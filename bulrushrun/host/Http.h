#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief HTTP messages as the slices see them, whatever carries them.

namespace bulrushrun {

/// \brief One header field; names compare without regard to case.
struct Header
{
  std::string mName;
  std::string mValue;
};

using Headers = std::vector<Header>;

/// \brief \returns true when both names are equal but for the case of ASCII letters.
bool equalHeaderNames(std::string_view aLeft, std::string_view aRight);

/// \brief \returns the value of the first header of that name, or nullptr.
const std::string* findHeader(const Headers& aHeaders, std::string_view aName);

/// \brief Sets a header, in place of any of the same name.
void setHeader(Headers& aHeaders, std::string_view aName, std::string aValue);

/// \brief \returns true for framing and connection headers, which hold for one connection only.
bool isHopByHop(std::string_view aName);

/// \brief \returns the headers that may be passed on to the next hop.
Headers endToEndHeaders(const Headers& aHeaders);

/// \brief Request with its whole body.
struct HttpRequest
{
  std::string mMethod;
  /// Path and query, normalised.
  std::string mPath;
  Headers mHeaders;
  std::string mBody;
  /// Host that the caller named; the address of the other end where empty.
  std::string mAuthority = {};
};

/// \brief Status and headers of an answer; the body follows.
struct ResponseHead
{
  int mStatus = 200;
  Headers mHeaders;
  /// Body length in bytes, when it is known in advance.
  std::optional<std::uint64_t> mLength = {};
  /// The connection is to be closed behind the answer.
  bool mCloseAfter = false;
};

/// \brief Answer with its whole body.
struct HttpResponse
{
  ResponseHead mHead;
  std::string mBody;
};

/// \brief How an exchange with a target, a peer or the platform ended.
enum class ExchangeResult
{
  /// The answer came whole, and its end was verified.
  Complete,
  /// No byte of the request can have arrived.
  NotSent,
  /// Bytes may have arrived, and no whole answer came back.
  Interrupted,
};

/// \brief Receives the events of one exchange. No event follows mOnEnd.
struct ExchangeListener
{
  /// An answer without a length may end with its connection.
  bool mBodyMayEndAtClose = false;
  /// \returns false for an answer to another request, which is skipped; may be empty.
  std::function<bool(const ResponseHead&)> mIsMatchingResponse;
  std::function<void(const ResponseHead&)> mOnHead;
  /// \returns false to stop reading until Host::resumeExchange.
  std::function<bool(std::string_view)> mOnBody;
  /// The text says why, when the end is not ExchangeResult::Complete.
  std::function<void(ExchangeResult, const std::string&)> mOnEnd;
};

/// \brief Whether an exchange may use a connection that stood idle.
enum class ConnectionUse
{
  /// Any idle connection will do.
  Pooled,
  /// Only a new connection, or one that proved itself a moment ago.
  RecentlyVerified,
};

} // namespace bulrushrun
