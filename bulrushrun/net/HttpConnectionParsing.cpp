#include "bulrushrun/net/HttpConnection.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

/// \file
/// \brief HttpConnection: the callbacks of http-parser.

namespace bulrushrun {

namespace {

/// Idle timeout when the peer states none. Keep-Alive carries whole seconds only, so a peer with
/// a timeout below 1 s can't state it.
constexpr Duration kDefaultIdleTimeout = std::chrono::milliseconds(400);
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(500);
constexpr std::int64_t kMaxIdleTimeoutSeconds = 60;
/// Return values of the callbacks.
constexpr int kContinue = 0;
constexpr int kSkipBody = 1;
constexpr int kFail = -1;
/// Limits per exchange, so that a faulty server can't occupy it until its deadline.
constexpr int kMaxSkippedHeads = 8;
constexpr std::size_t kMaxSkippedBytes = std::size_t{ 1024 } * 1024;
constexpr unsigned kSwitchingProtocols = 101;
/// Smallest status of an interim and of a final response, and the largest one.
constexpr int kMinInterimStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kNoContent = 204;

/// \returns true when the body has a transfer coding other than chunked, which would have to be
/// decoded.
bool hasUnsupportedTransferCoding(const Headers& aHeaders)
{
  int codings = 0;
  bool chunked = true;
  for (const Header& header : aHeaders) {
    if (equalHeaderNames(header.mName, "transfer-encoding")) {
      const std::size_t end = header.mValue.find_last_not_of(" \t") + 1;
      chunked = equalHeaderNames(std::string_view{ header.mValue }.substr(0, end), "chunked");
      ++codings;
    }
  }
  return codings > 1 || !chunked;
}

/// \returns true when a name contains a space, which http-parser accepts: the next hop would read
/// the header differently, or refuse the response.
bool hasMalformedName(const Headers& aHeaders)
{
  return std::any_of(aHeaders.begin(), aHeaders.end(), [](const Header& aHeader) {
    return aHeader.mName.find(' ') != std::string::npos;
  });
}

} // namespace

/// Takes the idle timeout from "Keep-Alive: timeout=N", N in whole seconds.
void HttpConnection::parseKeepAlive()
{
  constexpr std::string_view kName = "timeout=";
  const std::string* text = findHeader(mHead.mHeaders, "keep-alive");
  const std::size_t at = text == nullptr ? std::string::npos : text->find(kName);
  std::int64_t seconds = 0;
  if (at != std::string::npos) {
    const char* first = text->data() + at + kName.size();
    std::from_chars(first, text->data() + text->size(), seconds);
  }
  seconds = std::clamp<std::int64_t>(seconds, 0, kMaxIdleTimeoutSeconds);
  mIdleTimeout =
    seconds > 0 ? std::chrono::seconds(seconds) - kIdleTimeoutMargin : kDefaultIdleTimeout;
}

int HttpConnection::onField(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aParser->data);
  if (connection->mHead.mHeaders.empty() || connection->mReadingHeaderValue) {
    connection->mHead.mHeaders.emplace_back();
    connection->mReadingHeaderValue = false;
  }
  connection->mHead.mHeaders.back().mName.append(aBytes, aLength);
  return 0;
}

int HttpConnection::onValue(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aParser->data);
  connection->mReadingHeaderValue = true;
  connection->mHead.mHeaders.back().mValue.append(aBytes, aLength);
  return 0;
}

int HttpConnection::onHeadersComplete(http_parser* aParser)
{
  return static_cast<HttpConnection*>(aParser->data)->onHeadComplete();
}

int HttpConnection::onHeadComplete()
{
  mReadingHeaderValue = false;
  const int status = static_cast<int>(mParser.status_code);
  // http-parser accepts any status from 0 to 999.
  if (status < kMinInterimStatus || status > kMaxStatus) {
    return failParsing("the status of the response is not valid");
  }
  if (status < kMinFinalStatus) {
    return onInterimHead();
  }
  if (hasMalformedName(mHead.mHeaders) || hasUnsupportedTransferCoding(mHead.mHeaders)) {
    return kFail;
  }
  const bool chunked = (mParser.flags & F_CHUNKED) != 0;
  const bool hasLength = mParser.content_length != std::numeric_limits<std::uint64_t>::max();
  const bool withoutBody = mHeadRequest || isStatusWithoutBody(status);
  if (!chunked && !hasLength && !withoutBody && !mListener.mBodyMayEndAtClose) {
    return kFail;
  }
  mPart = chunked ? ResponsePart::Line : ResponsePart::Body;
  mHead.mStatus = status;
  if (hasLength && !chunked && status != kNoContent) {
    mHead.mLength = mParser.content_length;
  }
  parseKeepAlive();
  const bool closeAfter = http_should_keep_alive(&mParser) == 0;
  mHead.mHeaders = endToEndHeaders(mHead.mHeaders);
  mHead.mCloseAfter = closeAfter;
  if (mListener.mIsMatchingResponse && !mListener.mIsMatchingResponse(mHead)) {
    return skipResponse(chunked || hasLength, isStatusWithoutBody(status));
  }
  if (mListener.mOnHead) {
    mListener.mOnHead(mHead);
  }
  if (mSocket == nullptr) {
    return kFail;
  }
  return withoutBody ? kSkipBody : kContinue;
}

int HttpConnection::failParsing(const char* aReason)
{
  mParsingFailure = aReason;
  return kFail;
}

bool HttpConnection::countSkipped()
{
  return ++mSkippedHeads <= kMaxSkippedHeads;
}

int HttpConnection::onInterimHead()
{
  if (mParser.status_code == kSwitchingProtocols) {
    return failParsing("the server switched protocols without being asked");
  }
  return countSkipped() ? kSkipBody : failParsing("too many interim responses");
}

/// Skips a response to another request.
/// \param aStatesEnd  the head says where the body ends
/// \param aHasNoBody  the status allows no body
int HttpConnection::skipResponse(bool aStatesEnd, bool aHasNoBody)
{
  mSkippingBody = true;
  mSkippedResponse = true;
  if (!(aStatesEnd || aHasNoBody) || mCarriedHeadRequest) {
    return failParsing("a response to another request, whose end is unknown");
  }
  if (!countSkipped()) {
    return failParsing("too many responses to other requests");
  }
  return aHasNoBody ? kSkipBody : kContinue;
}

int HttpConnection::onBody(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aParser->data);
  if (connection->mSkippingBody) {
    connection->mSkippedBytes += aLength;
    return connection->mSkippedBytes <= kMaxSkippedBytes
             ? kContinue
             : connection->failParsing("a response to another request is too long");
  }
  const bool keepReading =
    !connection->mListener.mOnBody || connection->mListener.mOnBody({ aBytes, aLength });
  if (connection->mSocket == nullptr) {
    return kFail;
  }
  if (!keepReading) {
    connection->mPaused = true;
    h2o_socket_read_stop(connection->mSocket);
    http_parser_pause(aParser, 1);
  }
  return kContinue;
}

int HttpConnection::onChunkHeader(http_parser* aParser)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aParser->data);
  connection->mChunkBytesLeft = aParser->content_length;
  if (connection->mChunkBytesLeft > 0) {
    connection->mPart = ResponsePart::ChunkData;
  }
  return kContinue;
}

int HttpConnection::onMessageComplete(http_parser* aParser)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aParser->data);
  http_parser_pause(aParser, 1);
  if (aParser->status_code < kMinFinalStatus || std::exchange(connection->mSkippingBody, false)) {
    connection->startHead();
    connection->mSkippedToNextHead = true;
    return 0;
  }
  connection->mResponseComplete = true;
  return 0;
}

} // namespace bulrushrun
