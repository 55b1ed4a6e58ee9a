#include "bulrushrun/net/HttpConnection.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

/// \file
/// \brief HttpConnection: what the parser finds in an answer.

namespace bulrushrun {

namespace {

/// Idle time after which a connection is not reused when the other end names none: it names whole
/// seconds only, so that a shorter time is not named.
constexpr Duration kUnnamedIdleLimit = std::chrono::milliseconds(400);
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
constexpr std::int64_t kMaxIdleSeconds = 60;

bool isBodilessStatus(unsigned aStatus)
{
  return aStatus == 204 || aStatus == 304;
}

} // namespace

/// Keep-Alive: timeout=N, in whole seconds.
void HttpConnection::readKeepAlive()
{
  constexpr std::string_view kName = "timeout=";
  const std::string* text = findHeader(mHead.mHeaders, "keep-alive");
  const std::size_t at = text == nullptr ? std::string::npos : text->find(kName);
  std::int64_t seconds = 0;
  if (at != std::string::npos) {
    const char* first = text->data() + at + kName.size();
    std::from_chars(first, text->data() + text->size(), seconds);
  }
  seconds = std::clamp<std::int64_t>(seconds, 0, kMaxIdleSeconds);
  mIdleLimit = seconds > 0 ? std::chrono::seconds(seconds) - kIdleMargin : kUnnamedIdleLimit;
}

int HttpConnection::onField(http_parser* aParser, const char* aAt, std::size_t aLength)
{
  HttpConnection* self = static_cast<HttpConnection*>(aParser->data);
  if (self->mHead.mHeaders.empty() || self->mInValue) {
    self->mHead.mHeaders.emplace_back();
    self->mInValue = false;
  }
  self->mHead.mHeaders.back().mName.append(aAt, aLength);
  return 0;
}

int HttpConnection::onValue(http_parser* aParser, const char* aAt, std::size_t aLength)
{
  HttpConnection* self = static_cast<HttpConnection*>(aParser->data);
  self->mInValue = true;
  self->mHead.mHeaders.back().mValue.append(aAt, aLength);
  return 0;
}

int HttpConnection::onHeadersComplete(http_parser* aParser)
{
  return static_cast<HttpConnection*>(aParser->data)->completeHead();
}

int HttpConnection::completeHead()
{
  constexpr int kGoOn = 0;
  constexpr int kSkipBody = 1;
  constexpr int kRefuse = -1;
  mInValue = false;
  if (mParser.status_code < 200) {
    return kGoOn;
  }
  const bool chunked = (mParser.flags & F_CHUNKED) != 0;
  const bool hasLength = mParser.content_length != std::numeric_limits<std::uint64_t>::max();
  const bool bodiless = mHeadRequest || isBodilessStatus(mParser.status_code);
  if (!chunked && !hasLength && !bodiless && !mListener.mBodyMayEndAtClose) {
    return kRefuse;
  }
  mHead.mStatus = static_cast<int>(mParser.status_code);
  if (hasLength && !chunked) {
    mHead.mLength = mParser.content_length;
  }
  readKeepAlive();
  const bool closing = http_should_keep_alive(&mParser) == 0;
  mHead.mHeaders = endToEndHeaders(mHead.mHeaders);
  mHead.mCloseAfter = closing;
  if (mListener.mIsMatchingResponse && !mListener.mIsMatchingResponse(mHead)) {
    mSkipping = true;
    mSkipped = true;
    return kGoOn;
  }
  if (mListener.mOnHead) {
    mListener.mOnHead(mHead);
  }
  if (mSocket == nullptr) {
    return kRefuse;
  }
  return mHeadRequest ? kSkipBody : kGoOn;
}

int HttpConnection::onBody(http_parser* aParser, const char* aAt, std::size_t aLength)
{
  constexpr int kStopParsing = -1;
  HttpConnection* self = static_cast<HttpConnection*>(aParser->data);
  if (self->mSkipping) {
    return 0;
  }
  const bool goOn = !self->mListener.mOnBody || self->mListener.mOnBody({ aAt, aLength });
  if (self->mSocket == nullptr) {
    return kStopParsing;
  }
  if (!goOn) {
    self->mPaused = true;
    h2o_socket_read_stop(self->mSocket);
    http_parser_pause(aParser, 1);
  }
  return 0;
}

int HttpConnection::onMessageComplete(http_parser* aParser)
{
  HttpConnection* self = static_cast<HttpConnection*>(aParser->data);
  if (aParser->status_code < 200 || std::exchange(self->mSkipping, false)) {
    self->mHead = {};
    return 0;
  }
  self->mWhole = true;
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace bulrushrun
