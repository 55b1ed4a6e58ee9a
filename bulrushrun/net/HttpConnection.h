#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/net/EventLoop.h"
#include "bulrushrun/net/ResponseLines.h"

#include <h2o.h>
#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief One client connection: a socket of h2o, and http-parser, which verifies that a response
/// is complete.
///
/// A response whose end can't be verified (neither Content-Length nor chunked) counts as
/// interrupted, unless the listener accepts a body that ends when the connection closes. Such a
/// body is complete once the peer has received the whole request. Responses to other requests are
/// skipped, up to a limit; after one, the connection is not used again.
class HttpConnection
{
public:
  /// \brief Starts to connect.
  /// \param aOnIdle  runs after each complete exchange that leaves the connection reusable
  /// \param aOnClosed  runs once when the connection can no longer be used
  HttpConnection(EventLoop& aLoop,
                 const Endpoint& aEndpoint,
                 std::function<void(HttpConnection&)> aOnIdle,
                 std::function<void(HttpConnection&)> aOnClosed);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  HttpConnection(HttpConnection&&) = delete;
  HttpConnection& operator=(HttpConnection&&) = delete;
  ~HttpConnection();

  /// \brief Sends a request as soon as the connection is established. One exchange at a time.
  void start(const HttpRequest& aRequest, ExchangeListener aListener);
  /// \brief Closes the connection; no event follows.
  void abort();
  /// \brief Resumes reading after the listener paused it.
  void resume();
  /// \brief \returns false when something has arrived on the idle connection: bytes that belong to
  /// no request, or its end.
  bool isQuiet();

  /// \brief \returns false when connecting could not be started, or when the connection is closed.
  bool isOpen() const { return mSocket != nullptr; }
  const Endpoint& endpoint() const { return mEndpoint; }
  /// \brief \returns the time at which the last exchange completed.
  TimePoint lastCompletedAt() const { return mLastCompletedAt; }
  /// \brief \returns the idle timeout of the peer, less a safety margin.
  Duration idleTimeout() const { return mIdleTimeout; }
  /// \brief \returns the idle time before the last exchange, when the connection failed without a
  /// byte of a response: it was stale, that is, the peer had already dropped it.
  std::optional<Duration> staleAfter() const { return mStaleAfter; }
  /// \brief \returns true when bytes arrived that belong to no request.
  bool hasStrayBytes() const { return mHasStrayBytes; }

private:
  /// What the next bytes of a response are.
  enum class ResponsePart
  {
    /// A line of the head, the size of a chunk, the end of one, or a trailer.
    Line,
    ChunkData,
    /// A body without chunks.
    Body,
  };

  /// The request in progress, until it is written.
  struct OutgoingRequest
  {
    std::string mHead;
    SharedBytes mBody;
  };

  static void onConnect(h2o_socket_t* aSocket, const char* aError);
  static void onRead(h2o_socket_t* aSocket, const char* aError);
  static void onWritten(h2o_socket_t* aSocket, const char* aError);
  static int onField(http_parser* aParser, const char* aBytes, std::size_t aLength);
  static int onValue(http_parser* aParser, const char* aBytes, std::size_t aLength);
  static int onHeadersComplete(http_parser* aParser);
  static int onBody(http_parser* aParser, const char* aBytes, std::size_t aLength);
  static int onChunkHeader(http_parser* aParser);
  static int onMessageComplete(http_parser* aParser);

  void onConnectTimeout();
  void onPeerClosed();
  void finishOnceRequestIsReceived();
  void parseKeepAlive();
  void send();
  void parse();
  std::string_view nextPart(std::string_view aInput) const;
  void startHead();
  std::size_t executeParser(std::string_view aInput);
  int onHeadComplete();
  int onInterimHead();
  int skipResponse(bool aStatesEnd, bool aHasNoBody);
  bool countSkipped();
  int failParsing(const char* aReason);
  void finishExchange();
  void fail(ExchangeResult aEnd, const std::string& aReason);
  void closeSocket();

  EventLoop& mLoop;
  Endpoint mEndpoint;
  TimerId mConnectTimer;
  /// Runs between the end of the connection and the end of an exchange whose request is not yet
  /// received.
  TimerId mReceiptTimer;
  std::function<void(HttpConnection&)> mOnIdle;
  std::function<void(HttpConnection&)> mOnClosed;
  h2o_socket_t* mSocket = nullptr;
  http_parser mParser{};
  http_parser_settings mParserSettings{};
  ExchangeListener mListener;
  OutgoingRequest mOutgoing;
  ResponseHead mHead;
  TimePoint mLastCompletedAt;
  bool mConnected = false;
  bool mExchangeInProgress = false;
  bool mRequestSent = false;
  /// Until the kernel has taken the whole request, or the write has failed.
  bool mWriteInProgress = false;
  bool mHeadRequest = false;
  bool mReadingHeaderValue = false;
  bool mPaused = false;
  bool mResponseComplete = false;
  ResponsePart mPart = ResponsePart::Line;
  std::uint64_t mChunkBytesLeft = 0;
  /// The parser is paused between a response that was skipped and the next head.
  bool mSkippedToNextHead = false;
  ResponseLines mLines;
  bool mSkippingBody = false;
  bool mSkippedResponse = false;
  /// Interim responses and responses to other requests during this exchange.
  int mSkippedHeads = 0;
  std::size_t mSkippedBytes = 0;
  /// The connection carried a HEAD request, so a late response to it may have no body.
  bool mCarriedHeadRequest = false;
  bool mHasStrayBytes = false;
  const char* mParsingFailure = nullptr;
  Duration mIdleTimeout;
  /// Idle time before the exchange in progress; empty for the first exchange, and once bytes of
  /// the response have arrived.
  std::optional<Duration> mIdleBeforeExchange;
  std::optional<Duration> mStaleAfter;
};

} // namespace bulrushrun
