#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/net/WaitingResponse.h"

#include <h2o.h>

#include <memory>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Sends the response to one request that h2o's server received.
///
/// Buffers the bytes that the caller has not read yet; write() returns their number.
/// \sa Responder
class HttpResponder : public std::enable_shared_from_this<HttpResponder>
{
public:
  /// \brief Creates a responder for a request. The request and the callers of this class share its
  /// ownership.
  static std::shared_ptr<HttpResponder> create(h2o_req_t* aRequest);

  /// \brief Creates a responder for a request that was started before its turn on the connection.
  static std::shared_ptr<HttpResponder> createWaiting(PipelinedConnection& aConnection);

  HttpResponder() = default;
  HttpResponder(const HttpResponder&) = delete;
  HttpResponder& operator=(const HttpResponder&) = delete;
  HttpResponder(HttpResponder&&) = delete;
  HttpResponder& operator=(HttpResponder&&) = delete;
  ~HttpResponder() = default;

  /// \sa Responder
  void start(const ResponseHead& aHead);
  /// \sa Responder
  std::size_t write(std::string_view aBytes);
  /// \sa Responder
  void finish();
  /// \sa Responder
  void abort();
  /// \brief \returns true when the caller has closed its connection; checks the socket.
  bool isDisconnected();
  /// \brief Replaces the number of body bytes that the caller of this function holds for a
  /// response. \returns false when no more should be read for it until mOnWritable, because it
  /// waits for its turn and too much is held
  bool mayCollect(std::size_t aBytes);

  /// \brief \returns true until it is the turn of this response on its connection.
  bool isWaiting() const { return mWaiting != nullptr; }

  /// \brief Sends what has been written, and the rest as it is written; called when h2o delivers
  /// the request.
  void attach(h2o_req_t* aRequest);
  /// \brief Ends a waiting response whose connection is gone.
  void abandon();
  /// \brief \returns true when the request is over.
  bool hasEnded() const { return mDetached; }

  /// \brief Runs when the buffered bytes have been sent.
  std::function<void()> mOnWritable;
  /// \brief Runs once when the caller disconnects before the response is complete.
  std::function<void()> mOnDisconnect;
  /// \brief Runs once when the request is over: its response was sent, or abandoned.
  std::function<void()> mOnDisposed;

private:
  /// h2o's generator, with a pointer back to the responder.
  struct Generator
  {
    h2o_generator_t mSuper;
    HttpResponder* mResponder;
  };

  static void onProceed(h2o_generator_t* aGenerator, h2o_req_t* aRequest);
  static void onStop(h2o_generator_t* aGenerator, h2o_req_t* aRequest);
  static void onDispose(void* aReference);

  void bind(h2o_req_t* aRequest);
  void sendHead(const ResponseHead& aHead);
  bool mayClose() const;
  void proceed();
  void detach();
  void flush();
  void setResetOnClose(bool aReset);

  h2o_req_t* mRequest = nullptr;
  /// Set until it is the turn of this response.
  std::unique_ptr<WaitingResponse> mWaiting;
  Generator mGenerator{};
  std::string mPending;
  std::string mSending;
  bool mStarted = false;
  bool mSendInProgress = false;
  bool mFinished = false;
  bool mAborted = false;
  bool mDetached = false;
  /// The connection ends after this response even if requests behind it were started.
  /// The connection ends after this response, even if requests behind it were started.
  bool mMustClose = false;
};

} // namespace bulrushrun
