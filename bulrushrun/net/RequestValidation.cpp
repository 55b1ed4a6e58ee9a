#include "bulrushrun/net/RequestValidation.h"

#include <algorithm>
#include <array>

namespace bulrushrun {

namespace {

constexpr std::array<std::string_view, 7> kSupportedMethods{ "GET",   "HEAD",   "POST",   "PUT",
                                                             "PATCH", "DELETE", "OPTIONS" };
constexpr std::size_t kMaxHeaderBytes = std::size_t{ 32 } * 1024;
constexpr std::string_view kControlHeaderPrefix = "bulrush-";

/// Removes the part before the separator, and the separator, and returns that part.
std::string_view takeBefore(std::string_view& aRest, std::string_view aSeparator)
{
  const std::size_t at = aRest.find(aSeparator);
  const std::string_view part = aRest.substr(0, at);
  aRest = at == std::string_view::npos ? std::string_view{} : aRest.substr(at + aSeparator.size());
  return part;
}

bool isDotSegment(std::string_view aSegment)
{
  std::size_t dots = 0;
  while (!aSegment.empty()) {
    const bool encoded = aSegment.starts_with("%2e") || aSegment.starts_with("%2E");
    if (!encoded && aSegment.front() != '.') {
      return false;
    }
    aSegment.remove_prefix(encoded ? 3 : 1);
    ++dots;
  }
  return dots == 1 || dots == 2;
}

bool hasDotSegment(std::string_view aPath)
{
  std::string_view rest = aPath.substr(0, aPath.find('?'));
  while (!rest.empty()) {
    if (isDotSegment(takeBefore(rest, "/"))) {
      return true;
    }
  }
  return false;
}

bool hasForbiddenCharacter(std::string_view aPath)
{
  return std::any_of(aPath.begin(), aPath.end(), [](char aByte) {
    const unsigned char byte = static_cast<unsigned char>(aByte);
    return byte <= 0x20 || byte == 0x7f || byte == '\\';
  });
}

std::string_view trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

bool isDigits(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return aDigit >= '0' && aDigit <= '9';
  });
}

} // namespace

std::optional<RequestError> validateRequestLine(std::string_view aMethod, std::string_view aPath)
{
  if (std::find(kSupportedMethods.begin(), kSupportedMethods.end(), aMethod) ==
      kSupportedMethods.end()) {
    return RequestError{ 405, "unsupported method" };
  }
  const bool isAsteriskForm = aPath == "*" && aMethod == "OPTIONS";
  if (!isAsteriskForm && !aPath.starts_with('/')) {
    return RequestError{ 400, "the path must start with '/'" };
  }
  if (hasForbiddenCharacter(aPath)) {
    return RequestError{ 400, "the path contains a space, a control character or a backslash" };
  }
  if (hasDotSegment(aPath)) {
    return RequestError{ 400, "the path contains a dot segment" };
  }
  return std::nullopt;
}

std::optional<RequestError> validateFraming(std::string_view aRawHead)
{
  std::string_view rest = aRawHead.substr(0, aRawHead.find("\r\n\r\n"));
  int contentLengths = 0;
  int transferEncodings = 0;
  takeBefore(rest, "\n");
  while (!rest.empty()) {
    std::string_view value = takeBefore(rest, "\n");
    const std::string_view name = trim(takeBefore(value, ":"));
    if (!value.empty() && value.back() == '\r') {
      value.remove_suffix(1);
    }
    if (equalHeaderNames(name, "content-length")) {
      ++contentLengths;
      if (!isDigits(trim(value))) {
        return RequestError{ 400, "Content-Length is not a number" };
      }
    }
    if (equalHeaderNames(name, "transfer-encoding")) {
      ++transferEncodings;
    }
  }
  if (contentLengths + transferEncodings > 1) {
    return RequestError{
      400, "conflicting framing: more than one Content-Length or Transfer-Encoding header"
    };
  }
  return std::nullopt;
}

std::optional<RequestError> validateHeaders(const Headers& aHeaders)
{
  std::size_t bytes = 0;
  for (const Header& header : aHeaders) {
    bytes += header.mName.size() + header.mValue.size();
  }
  if (bytes > kMaxHeaderBytes) {
    return RequestError{ 431, "the headers exceed 32 KiB" };
  }
  for (auto header = aHeaders.begin(); header != aHeaders.end(); ++header) {
    const std::string_view name = header->mName;
    const bool isControlHeader =
      equalHeaderNames(name.substr(0, kControlHeaderPrefix.size()), kControlHeaderPrefix) ||
      equalHeaderNames(name, "idempotency-key");
    const bool isRepeated = std::any_of(header + 1, aHeaders.end(), [&](const Header& aOther) {
      return equalHeaderNames(aOther.mName, name);
    });
    if (isControlHeader && isRepeated) {
      return RequestError{ 400, "header '" + header->mName + "' appears more than once" };
    }
  }
  return std::nullopt;
}

} // namespace bulrushrun
