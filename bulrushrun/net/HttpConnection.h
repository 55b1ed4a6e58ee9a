#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/net/EventLoop.h"

#include <h2o.h>
#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief One client connection: h2o's socket, with http-parser to verify where an answer ends.
///
/// An answer whose end can't be verified (no length and not chunked) counts as broken, unless the
/// listener accepts that it ends with its connection. Answers to other requests are skipped.
class HttpConnection
{
public:
  /// \brief Begins to connect.
  /// \param aOnClosed  runs once when the connection is of no more use
  /// \param aOnIdle  runs after each whole exchange that leaves the connection reusable
  HttpConnection(EventLoop& aLoop,
                 const Endpoint& aEndpoint,
                 std::function<void(HttpConnection&)> aOnIdle,
                 std::function<void(HttpConnection&)> aOnClosed);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  HttpConnection(HttpConnection&&) = delete;
  HttpConnection& operator=(HttpConnection&&) = delete;
  ~HttpConnection();

  /// \brief Sends a request as soon as the connection stands. One exchange at a time.
  void start(const HttpRequest& aRequest, ExchangeListener aListener);
  /// \brief Closes the connection; no event follows.
  void abort();
  /// \brief Reads on after a listener asked to stop.
  void resume();

  /// \brief \returns false when the connection could not even be begun, or is closed.
  bool isOpen() const { return mSocket != nullptr; }
  const Endpoint& endpoint() const { return mEndpoint; }
  /// \brief \returns when the last exchange ended whole.
  TimePoint lastCompletedAt() const { return mProvenAt; }
  /// \brief \returns how long the other end keeps the connection idle, less a margin.
  Duration idleLimit() const { return mIdleLimit; }
  /// \brief \returns the idle time before the last exchange, when the connection turned out to be
  /// lost without any byte of an answer: the other end had forgotten it.
  std::optional<Duration> staleAfter() const { return mForgottenAfter; }

private:
  static void onConnect(h2o_socket_t* aSocket, const char* aError);
  static void onRead(h2o_socket_t* aSocket, const char* aError);
  static void onWritten(h2o_socket_t* aSocket, const char* aError);
  static int onField(http_parser* aParser, const char* aAt, std::size_t aLength);
  static int onValue(http_parser* aParser, const char* aAt, std::size_t aLength);
  static int onHeadersComplete(http_parser* aParser);
  static int onBody(http_parser* aParser, const char* aAt, std::size_t aLength);
  static int onMessageComplete(http_parser* aParser);

  void onConnectLimit();
  void onClosed();
  void readKeepAlive();
  void send();
  void parse();
  int completeHead();
  void completeMessage();
  void fail(ExchangeResult aEnd, const std::string& aReason);
  void closeSocket();

  EventLoop& mLoop;
  Endpoint mEndpoint;
  TimerId mConnectTimer;
  std::function<void(HttpConnection&)> mOnIdle;
  std::function<void(HttpConnection&)> mOnClosed;
  h2o_socket_t* mSocket = nullptr;
  http_parser mParser{};
  http_parser_settings mParserSettings{};
  ExchangeListener mListener;
  std::string mOutput;
  ResponseHead mHead;
  TimePoint mProvenAt;
  bool mConnected = false;
  bool mBusy = false;
  bool mSent = false;
  bool mWriting = false;
  bool mHeadRequest = false;
  bool mInValue = false;
  bool mPaused = false;
  bool mWhole = false;
  bool mSkipping = false;
  bool mSkipped = false;
  Duration mIdleLimit;
  /// Idle time before the exchange in progress; nothing for the first one, or once bytes have come.
  std::optional<Duration> mIdleBefore;
  std::optional<Duration> mForgottenAfter;
};

} // namespace bulrushrun
