#pragma once

#include "bulrushrun/host/Http.h"

#include <h2o.h>

#include <memory>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Answer channel of one request that h2o's server received.
///
/// Bytes that the caller has not read yet wait here; write() tells how many.
/// \sa Responder
class HttpResponder : public std::enable_shared_from_this<HttpResponder>
{
public:
  /// \brief Binds a new channel to a request; it lives as long as either side needs it.
  static std::shared_ptr<HttpResponder> create(h2o_req_t* aRequest);

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
  /// \brief \returns true when the caller closed its connection; asks the socket.
  bool isDisconnected();

  /// \brief Runs when waiting bytes have gone out.
  std::function<void()> mOnWritable;
  /// \brief Runs once when the caller leaves before the answer ended.
  std::function<void()> mOnDisconnect;
  /// \brief Runs once when the request is over, its answer gone out or given up.
  std::function<void()> mOnDisposed;

private:
  /// h2o's generator, with the way back to the channel.
  struct Generator
  {
    h2o_generator_t mSuper;
    HttpResponder* mResponder;
  };

  static void onProceed(h2o_generator_t* aGenerator, h2o_req_t* aRequest);
  static void onStop(h2o_generator_t* aGenerator, h2o_req_t* aRequest);
  static void onDispose(void* aSlot);

  void proceed();
  void leave();
  void flush();

  h2o_req_t* mRequest = nullptr;
  Generator mGenerator{};
  std::string mWaiting;
  std::string mSending;
  bool mStarted = false;
  bool mBusy = false;
  bool mFinished = false;
  bool mAborted = false;
  bool mClosed = false;
};

} // namespace bulrushrun
