#include "bulrushrun/net/RequestValidation.h"

#include <algorithm>
#include <array>

namespace bulrushrun {

namespace {

constexpr std::array<std::string_view, 7> kCarriedMethods{ "GET",   "HEAD",   "POST",   "PUT",
                                                           "PATCH", "DELETE", "OPTIONS" };
constexpr std::size_t kMaxHeaderBytes = std::size_t{ 32 } * 1024;
constexpr std::string_view kControlPrefix = "bulrush-";

/// Removes and returns the part before the separator.
std::string_view takeUntil(std::string_view& aRest, std::string_view aSeparator)
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
    if (isDotSegment(takeUntil(rest, "/"))) {
      return true;
    }
  }
  return false;
}

bool hasForbiddenByte(std::string_view aPath)
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
  if (std::find(kCarriedMethods.begin(), kCarriedMethods.end(), aMethod) == kCarriedMethods.end()) {
    return RequestError{ 405, "the method is not carried" };
  }
  const bool asterisk = aPath == "*" && aMethod == "OPTIONS";
  if (!asterisk && !aPath.starts_with('/')) {
    return RequestError{ 400, "the path must begin with a slash" };
  }
  if (hasForbiddenByte(aPath)) {
    return RequestError{ 400, "the path holds a forbidden byte" };
  }
  if (hasDotSegment(aPath)) {
    return RequestError{ 400, "the path holds a dot segment" };
  }
  return std::nullopt;
}

std::optional<RequestError> validateFraming(std::string_view aRawHead)
{
  std::string_view rest = aRawHead.substr(0, aRawHead.find("\r\n\r\n"));
  int lengths = 0;
  int encodings = 0;
  takeUntil(rest, "\n");
  while (!rest.empty()) {
    std::string_view value = takeUntil(rest, "\n");
    const std::string_view name = trim(takeUntil(value, ":"));
    if (!value.empty() && value.back() == '\r') {
      value.remove_suffix(1);
    }
    if (equalHeaderNames(name, "content-length")) {
      ++lengths;
      if (!isDigits(trim(value))) {
        return RequestError{ 400, "Content-Length is no number" };
      }
    }
    if (equalHeaderNames(name, "transfer-encoding")) {
      ++encodings;
    }
  }
  if (lengths + encodings > 1) {
    return RequestError{ 400, "the framing headers conflict" };
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
    return RequestError{ 431, "the headers are oversize" };
  }
  for (auto header = aHeaders.begin(); header != aHeaders.end(); ++header) {
    const std::string_view name = header->mName;
    const bool control = equalHeaderNames(name.substr(0, kControlPrefix.size()), kControlPrefix) ||
                         equalHeaderNames(name, "idempotency-key");
    const bool twice = std::any_of(header + 1, aHeaders.end(), [&](const Header& aOther) {
      return equalHeaderNames(aOther.mName, name);
    });
    if (control && twice) {
      return RequestError{ 400, "header '" + header->mName + "' stands twice" };
    }
  }
  return std::nullopt;
}

} // namespace bulrushrun
