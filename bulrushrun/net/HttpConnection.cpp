#include "bulrushrun/net/HttpConnection.h"

#include "bulrushrun/net/Sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
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
  sockaddr_in address = socketAddress(aEndpoint);
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
    fail(ExchangeResult::NotSent, "no connection within the limit");
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
  mIdleBefore.reset();
  if (mProvenAt != TimePoint{}) {
    mIdleBefore = EventLoop::now() - mProvenAt;
  }
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

void HttpConnection::fail(ExchangeResult aEnd, const std::string& aReason)
{
  closeSocket();
  mForgottenAfter = mIdleBefore;
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
    self->fail(ExchangeResult::NotSent, aError);
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
    self->fail(ExchangeResult::Interrupted, "the request could not be written whole");
  }
}

void HttpConnection::onRead(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* self = static_cast<HttpConnection*>(aSocket->data);
  if (aError != nullptr) {
    if (aError == h2o_socket_error_closed && self->mBusy && self->mSent) {
      self->onClosed();
    } else {
      self->fail(ExchangeResult::Interrupted, "the connection broke before the answer ended");
    }
    return;
  }
  if (!self->mBusy || !self->mSent) {
    self->fail(self->mSent ? ExchangeResult::Interrupted : ExchangeResult::NotSent,
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
    fail(ExchangeResult::Interrupted, "the connection closed before the answer ended");
  }
}

void HttpConnection::parse()
{
  h2o_socket_t* socket = mSocket;
  const std::size_t size = socket->input->size;
  if (size == 0) {
    return;
  }
  mIdleBefore.reset();
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
    fail(ExchangeResult::Interrupted, "the answer is malformed");
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
    listener.mOnEnd(ExchangeResult::Complete, "");
  }
  if (reusable) {
    mOnIdle(*this);
  } else {
    mOnClosed(*this);
  }
}

} // namespace bulrushrun
