#include "bulrushrun/net/HttpConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace bulrushrun {

namespace {

constexpr Duration kConnectLimit = std::chrono::seconds(1);
constexpr int kReceiveBufferBytes = 64 * 1024;
/// Sent bytes that nobody acknowledges for this long show that the connection is dead.
constexpr int kUnacknowledgedMillis = 1500;
/// Probes of a silent connection: first after, then every, and how many (TCP keep-alive).
constexpr int kProbeAfterSeconds = 2;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbes = 2;
/// Idle time after which a connection is not reused when the other end names none: it names whole
/// seconds only, so that a shorter time is not named.
constexpr Duration kUnnamedIdleLimit = std::chrono::milliseconds(400);
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
constexpr std::int64_t kMaxIdleSeconds = 60;

std::string serialise(const HttpRequest& aRequest, const Endpoint& aEndpoint)
{
  std::string text = aRequest.mMethod + " " + aRequest.mPath + " HTTP/1.1\r\n";
  text +=
    "Host: " + (aRequest.mAuthority.empty() ? aEndpoint.text() : aRequest.mAuthority) + "\r\n";
  for (const Header& header : aRequest.mHeaders) {
    if (!isHopByHop(header.mName) && !equalHeaderNames(header.mName, "host")) {
      text += header.mName + ": " + header.mValue + "\r\n";
    }
  }
  const bool bodiless = aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
  if (!bodiless || !aRequest.mBody.empty()) {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.mBody;
}

/// Lets the kernel find out that the other end is gone or cut off.
void watchLiveness(int aDescriptor)
{
  const int yes = 1;
  ::setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  ::setsockopt(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
  const std::array<std::pair<int, int>, 4> options{ { { TCP_KEEPIDLE, kProbeAfterSeconds },
                                                      { TCP_KEEPINTVL, kProbeEverySeconds },
                                                      { TCP_KEEPCNT, kProbes },
                                                      { TCP_USER_TIMEOUT,
                                                        kUnacknowledgedMillis } } };
  for (const auto& [option, value] : options) {
    ::setsockopt(aDescriptor, IPPROTO_TCP, option, &value, sizeof(value));
  }
}

bool isBodilessStatus(unsigned aStatus)
{
  return aStatus == 204 || aStatus == 304;
}

} // namespace

HttpConnection::HttpConnection(EventLoop& aLoop,
                               const Endpoint& aEndpoint,
                               std::function<void(HttpConnection&)> aOnIdle,
                               std::function<void(HttpConnection&)> aOnClosed)
  : mLoop(aLoop)
  , mEndpoint(aEndpoint)
  , mOnIdle(std::move(aOnIdle))
  , mOnClosed(std::move(aOnClosed))
{
  http_parser_settings_init(&mParserSettings);
  mParserSettings.on_header_field = onField;
  mParserSettings.on_header_value = onValue;
  mParserSettings.on_headers_complete = onHeadersComplete;
  mParserSettings.on_body = onBody;
  mParserSettings.on_message_complete = onMessageComplete;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  address.sin_addr.s_addr = htonl(aEndpoint.mAddress);
  mSocket = h2o_socket_connect(
    aLoop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof(address), onConnect);
  if (mSocket != nullptr) {
    mSocket->data = this;
    mConnectTimer = mLoop.after(kConnectLimit, [this] { onConnectLimit(); });
  }
}

/// Nothing was sent: the request may go elsewhere, whatever it is.
void HttpConnection::onConnectLimit()
{
  if (!mConnected) {
    fail(ExchangeEnd::NotSent, "no connection within the limit");
  }
}

HttpConnection::~HttpConnection()
{
  closeSocket();
}

void HttpConnection::closeSocket()
{
  mLoop.cancelTimer(mConnectTimer);
  if (mSocket != nullptr) {
    mSocket->data = nullptr;
    h2o_socket_close(std::exchange(mSocket, nullptr));
  }
}

void HttpConnection::start(const HttpRequest& aRequest, ExchangeListener aListener)
{
  assert(!mBusy && "a connection carries one exchange at a time");
  mListener = std::move(aListener);
  mOutput = serialise(aRequest, mEndpoint);
  mHeadRequest = aRequest.mMethod == "HEAD";
  mBusy = true;
  mSent = false;
  mWhole = false;
  mSkipping = false;
  mSkipped = false;
  mHead = {};
  http_parser_init(&mParser, HTTP_RESPONSE);
  mParser.data = this;
  if (mConnected) {
    send();
  }
}

void HttpConnection::send()
{
  mSent = true;
  mWriting = true;
  h2o_iovec_t part = h2o_iovec_init(mOutput.data(), mOutput.size());
  h2o_socket_write(mSocket, &part, 1, onWritten);
}

void HttpConnection::abort()
{
  mListener = {};
  closeSocket();
}

void HttpConnection::resume()
{
  if (!mPaused || mSocket == nullptr) {
    return;
  }
  mPaused = false;
  http_parser_pause(&mParser, 0);
  h2o_socket_read_start(mSocket, onRead);
  parse();
}

void HttpConnection::fail(ExchangeEnd aEnd, const std::string& aReason)
{
  closeSocket();
  const ExchangeListener listener = std::exchange(mListener, {});
  if (std::exchange(mBusy, false) && listener.mOnEnd) {
    listener.mOnEnd(aEnd, aReason);
  }
  mOnClosed(*this);
}

void HttpConnection::onConnect(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* self = static_cast<HttpConnection*>(aSocket->data);
  if (aError != nullptr) {
    self->fail(ExchangeEnd::NotSent, aError);
    return;
  }
  const int descriptor = h2o_socket_get_fd(aSocket);
  watchLiveness(descriptor);
  ::setsockopt(
    descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  self->mConnected = true;
  self->mLoop.cancelTimer(self->mConnectTimer);
  h2o_socket_read_start(aSocket, onRead);
  if (self->mBusy) {
    self->send();
  }
}

void HttpConnection::onWritten(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* self = static_cast<HttpConnection*>(aSocket->data);
  if (self == nullptr) {
    return;
  }
  self->mWriting = false;
  if (aError != nullptr) {
    self->fail(ExchangeEnd::Broken, "the request could not be written whole");
  }
}

void HttpConnection::onRead(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* self = static_cast<HttpConnection*>(aSocket->data);
  if (aError != nullptr) {
    if (aError == h2o_socket_error_closed && self->mBusy && self->mSent) {
      self->onClosed();
    } else {
      self->fail(ExchangeEnd::Broken, "the connection broke before the answer ended");
    }
    return;
  }
  if (!self->mBusy || !self->mSent) {
    self->fail(self->mSent ? ExchangeEnd::Broken : ExchangeEnd::NotSent,
               "bytes came that no request asked for");
    return;
  }
  self->parse();
}

/// The other end closed in order: the end of an answer that has no length, or a broken one.
void HttpConnection::onClosed()
{
  http_parser_execute(&mParser, &mParserSettings, nullptr, 0);
  if (mWhole) {
    completeMessage();
  } else {
    fail(ExchangeEnd::Broken, "the connection closed before the answer ended");
  }
}

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

void HttpConnection::parse()
{
  h2o_socket_t* socket = mSocket;
  const std::size_t size = socket->input->size;
  if (size == 0) {
    return;
  }
  const std::size_t used =
    http_parser_execute(&mParser, &mParserSettings, socket->input->bytes, size);
  if (!isOpen()) {
    // A listener closed the connection meanwhile.
    return;
  }
  h2o_buffer_consume(&socket->input, used);
  const http_errno error = HTTP_PARSER_ERRNO(&mParser);
  if (mWhole) {
    completeMessage();
  } else if (error != HPE_OK && error != HPE_PAUSED) {
    fail(ExchangeEnd::Broken, "the answer is malformed");
  }
}

void HttpConnection::completeMessage()
{
  const bool reusable =
    http_should_keep_alive(&mParser) != 0 && mSocket->input->size == 0 && !mWriting && !mSkipped;
  const ExchangeListener listener = std::exchange(mListener, {});
  mBusy = false;
  mProvenAt = EventLoop::now();
  if (!reusable) {
    closeSocket();
  }
  if (listener.mOnEnd) {
    listener.mOnEnd(ExchangeEnd::Whole, "");
  }
  if (reusable) {
    mOnIdle(*this);
  } else {
    mOnClosed(*this);
  }
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
  if (!chunked && !hasLength && !bodiless && !mListener.mEndsWithConnection) {
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
  if (mListener.mIsMine && !mListener.mIsMine(mHead)) {
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
