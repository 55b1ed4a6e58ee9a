#include "bulrushrun/net/HttpConnection.h"

#include "bulrushrun/net/Sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace bulrushrun {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr int kReceiveBufferBytes = 64 * 1024;
/// A connection on which sent bytes stay unacknowledged for this long is closed
/// (TCP_USER_TIMEOUT).
constexpr int kTcpUserTimeoutMillis = 1500;
/// TCP keep-alive: idle time before the first probe, interval and number of the probes.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

std::string serializeHead(const HttpRequest& aRequest, const Endpoint& aEndpoint)
{
  std::string text = aRequest.mMethod + " " + aRequest.mPath + " HTTP/1.1\r\n";
  text +=
    "Host: " + (aRequest.mAuthority.empty() ? aEndpoint.text() : aRequest.mAuthority) + "\r\n";
  for (const Header& header : aRequest.mHeaders) {
    if (!isHopByHop(header.mName) && !equalHeaderNames(header.mName, "host")) {
      text += header.mName + ": " + header.mValue + "\r\n";
    }
  }
  const bool withoutBody = aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
  if (!withoutBody || !aRequest.mBody.empty()) {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return text + "\r\n";
}

/// Makes the kernel detect a peer that is dead or unreachable.
void enableDeadPeerDetection(int aDescriptor)
{
  const int yes = 1;
  ::setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  ::setsockopt(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
  const std::array<std::pair<int, int>, 4> options{ { { TCP_KEEPIDLE, kKeepAliveIdleSeconds },
                                                      { TCP_KEEPINTVL, kKeepAliveIntervalSeconds },
                                                      { TCP_KEEPCNT, kKeepAliveProbes },
                                                      { TCP_USER_TIMEOUT,
                                                        kTcpUserTimeoutMillis } } };
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
  mParserSettings.on_chunk_header = onChunkHeader;
  mParserSettings.on_message_complete = onMessageComplete;
  sockaddr_in address = socketAddress(aEndpoint);
  mSocket = h2o_socket_connect(
    aLoop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof(address), onConnect);
  if (mSocket != nullptr) {
    mSocket->data = this;
    mConnectTimer = mLoop.after(kConnectTimeout, [this] { onConnectTimeout(); });
  }
}

/// Nothing was sent, so that any request, also a non-idempotent one, may be sent elsewhere.
void HttpConnection::onConnectTimeout()
{
  if (!mConnected) {
    fail(ExchangeResult::NotSent, "connection not established before the connect timeout");
  }
}

HttpConnection::~HttpConnection()
{
  closeSocket();
}

void HttpConnection::closeSocket()
{
  mLoop.cancelTimer(mConnectTimer);
  mLoop.cancelTimer(mReceiptTimer);
  if (mSocket != nullptr) {
    mSocket->data = nullptr;
    h2o_socket_close(std::exchange(mSocket, nullptr));
  }
  mOutgoing = {};
}

void HttpConnection::start(const HttpRequest& aRequest, ExchangeListener aListener)
{
  assert(!mExchangeInProgress && "a connection carries one exchange at a time");
  mListener = std::move(aListener);
  mOutgoing = { serializeHead(aRequest, mEndpoint), aRequest.mBody };
  mHeadRequest = aRequest.mMethod == "HEAD";
  mIdleBeforeExchange.reset();
  if (mLastCompletedAt != TimePoint{}) {
    mIdleBeforeExchange = EventLoop::now() - mLastCompletedAt;
  }
  mExchangeInProgress = true;
  mRequestSent = false;
  mResponseComplete = false;
  startHead();
  mSkippingBody = false;
  mSkippedResponse = false;
  mSkippedHeads = 0;
  mSkippedBytes = 0;
  mCarriedHeadRequest = mCarriedHeadRequest || mHeadRequest;
  http_parser_init(&mParser, HTTP_RESPONSE);
  mParser.data = this;
  if (mConnected) {
    send();
  }
}

void HttpConnection::send()
{
  mRequestSent = true;
  mWriteInProgress = true;
  const std::string_view body = mOutgoing.mBody.view();
  std::array<h2o_iovec_t, 2> parts{ h2o_iovec_init(mOutgoing.mHead.data(), mOutgoing.mHead.size()),
                                    h2o_iovec_init(body.data(), body.size()) };
  h2o_socket_write(mSocket, parts.data(), body.empty() ? 1 : 2, onWritten);
}

void HttpConnection::abort()
{
  // The listener may be running, so it is destroyed with the connection.
  closeSocket();
}

bool HttpConnection::isQuiet()
{
  char byte = 0;
  const ssize_t size =
    ::recv(h2o_socket_get_fd(mSocket), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  mHasStrayBytes = mHasStrayBytes || size > 0;
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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

void HttpConnection::fail(ExchangeResult aResult, const std::string& aReason)
{
  closeSocket();
  mStaleAfter = mIdleBeforeExchange;
  const ExchangeListener listener = std::exchange(mListener, {});
  if (std::exchange(mExchangeInProgress, false) && listener.mOnEnd) {
    listener.mOnEnd(aResult, aReason);
  }
  mOnClosed(*this);
}

void HttpConnection::onConnect(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aSocket->data);
  if (aError != nullptr) {
    connection->fail(ExchangeResult::NotSent, aError);
    return;
  }
  const int descriptor = h2o_socket_get_fd(aSocket);
  enableDeadPeerDetection(descriptor);
  ::setsockopt(
    descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  connection->mConnected = true;
  connection->mLoop.cancelTimer(connection->mConnectTimer);
  h2o_socket_read_start(aSocket, onRead);
  if (!connection->mExchangeInProgress) {
    return;
  }
  const std::function<bool()>& beforeSend = connection->mListener.mBeforeSend;
  if (!beforeSend || beforeSend()) {
    connection->send();
  }
}

void HttpConnection::onWritten(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aSocket->data);
  if (connection == nullptr) {
    return;
  }
  connection->mWriteInProgress = false;
  connection->mOutgoing = {};
  if (aError != nullptr) {
    connection->fail(ExchangeResult::Interrupted, "writing the request failed");
  }
}

void HttpConnection::onRead(h2o_socket_t* aSocket, const char* aError)
{
  HttpConnection* connection = static_cast<HttpConnection*>(aSocket->data);
  if (aError != nullptr) {
    if (aError == h2o_socket_error_closed && connection->mExchangeInProgress &&
        connection->mRequestSent) {
      connection->onPeerClosed();
    } else {
      connection->fail(ExchangeResult::Interrupted,
                       "connection lost before the response was complete");
    }
    return;
  }
  if (!connection->mExchangeInProgress || !connection->mRequestSent) {
    connection->mHasStrayBytes = true;
    connection->fail(connection->mRequestSent ? ExchangeResult::Interrupted
                                              : ExchangeResult::NotSent,
                     "received bytes without a request in progress");
    return;
  }
  connection->parse();
}

void HttpConnection::finishExchange()
{
  mHasStrayBytes = mSocket->input->size > 0;
  const bool reusable = http_should_keep_alive(&mParser) != 0 && !mHasStrayBytes &&
                        !mWriteInProgress && !mSkippedResponse;
  const ExchangeListener listener = std::exchange(mListener, {});
  mExchangeInProgress = false;
  mLastCompletedAt = EventLoop::now();
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
