#include "bulrushrun/net/PipelinedRequest.h"

#include "bulrushrun/net/RequestValidation.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <string>
#include <utility>

namespace bulrushrun {

namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";
/// h2o refuses a request with more than 100 fields.
constexpr std::size_t kMaxFields = 64;

/// What http-parser reports.
struct Parsing
{
  std::string mPath;
  Headers mHeaders;
  bool mReadingValue = false;
  bool mComplete = false;
};

Parsing& parsing(http_parser* aParser)
{
  return *static_cast<Parsing*>(aParser->data);
}

int onUrl(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  parsing(aParser).mPath.append(aBytes, aLength);
  return 0;
}

int onField(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  Parsing& result = parsing(aParser);
  if (result.mHeaders.empty() || std::exchange(result.mReadingValue, false)) {
    result.mHeaders.emplace_back();
  }
  result.mHeaders.back().mName.append(aBytes, aLength);
  return 0;
}

int onValue(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  Parsing& result = parsing(aParser);
  result.mReadingValue = true;
  result.mHeaders.back().mValue.append(aBytes, aLength);
  return 0;
}

int onComplete(http_parser* aParser)
{
  parsing(aParser).mComplete = true;
  return 0;
}

/// \returns true when each line ends with CRLF, none is folded, and all else is printable ASCII.
bool isPlain(std::string_view aHead)
{
  for (std::size_t at = 0; at < aHead.size(); ++at) {
    const char byte = aHead[at];
    const char next = at + 1 < aHead.size() ? aHead[at + 1] : '\0';
    if (byte == '\r' && next == '\n') {
      ++at;
      const char first = at + 1 < aHead.size() ? aHead[at + 1] : '\0';
      if (first == ' ' || first == '\t') {
        return false;
      }
    } else if (byte < ' ' || byte > '~') {
      return false;
    }
  }
  return true;
}

bool isToken(std::string_view aName)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), [&](char aByte) {
    return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
           kMarks.find(aByte) != std::string_view::npos;
  });
}

/// Takes one field over as h2o does, which keeps those of the framing to itself.
/// \returns false when the request must wait because of it
bool takeField(Header aField, PipelinedRequest& aParsed, bool& aHasLength)
{
  if (!isToken(aField.mName) || aField.mValue.empty() || aField.mValue.front() == ' ' ||
      aField.mValue.back() == ' ') {
    return false;
  }
  std::transform(aField.mName.begin(), aField.mName.end(), aField.mName.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  const std::string& name = aField.mName;
  if (name == "transfer-encoding" || name == "expect" || name == "upgrade") {
    return false;
  }
  if (name == "content-length") {
    return aField.mValue == "0" && !std::exchange(aHasLength, true);
  }
  if (name == "host") {
    const bool isFirst = aParsed.mRequest.mAuthority.empty();
    aParsed.mRequest.mAuthority = std::move(aField.mValue);
    return isFirst;
  }
  if (name == "connection") {
    const bool closes = equalHeaderNames(aField.mValue, "close");
    if (findHeader(aParsed.mRequest.mHeaders, name) != nullptr ||
        (!closes && !equalHeaderNames(aField.mValue, "keep-alive"))) {
      return false;
    }
    aParsed.mClosesConnection = closes;
  }
  aParsed.mRequest.mHeaders.push_back(std::move(aField));
  return true;
}

} // namespace

PipelinedForm parsePipelinedRequest(std::string_view aBytes, PipelinedRequest& aParsed)
{
  const std::size_t end = aBytes.find(kEndOfHead);
  if (end == std::string_view::npos) {
    return PipelinedForm::Incomplete;
  }
  const std::string_view head = aBytes.substr(0, end + kEndOfHead.size());
  if (!isPlain(head)) {
    return PipelinedForm::MustWait;
  }
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = onUrl;
  settings.on_header_field = onField;
  settings.on_header_value = onValue;
  settings.on_message_complete = onComplete;
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  Parsing result;
  parser.data = &result;
  const std::size_t consumed = http_parser_execute(&parser, &settings, head.data(), head.size());
  const std::string method = http_method_str(static_cast<http_method>(parser.method));
  if (consumed != head.size() || HTTP_PARSER_ERRNO(&parser) != HPE_OK || !result.mComplete ||
      parser.upgrade != 0 || parser.http_major != 1 || parser.http_minor != 1 ||
      result.mHeaders.size() > kMaxFields || !head.starts_with(method + " " + result.mPath + " ") ||
      validateRequestLine(method, result.mPath) || validateFraming(head)) {
    return PipelinedForm::MustWait;
  }
  PipelinedRequest parsed{ { method, result.mPath, {}, {}, {} }, head.size() };
  bool hasLength = false;
  for (Header& field : result.mHeaders) {
    if (!takeField(std::move(field), parsed, hasLength)) {
      return PipelinedForm::MustWait;
    }
  }
  if (parsed.mRequest.mAuthority.empty() || validateHeaders(parsed.mRequest.mHeaders)) {
    return PipelinedForm::MustWait;
  }
  aParsed = std::move(parsed);
  return PipelinedForm::MayRunAhead;
}

} // namespace bulrushrun
