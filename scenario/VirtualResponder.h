#pragma once

#include "scenario/ResponseEvent.h"

#include <utility>

namespace bulrushrun::scenario {

/// \brief Response channel of a request that a simulated node received.
/// \sa bulrushrun::Responder
class VirtualResponder
{
public:
  explicit VirtualResponder(ResponseSink aSink)
    : mSink(std::move(aSink))
  {
  }

  void start(const ResponseHead& aHead) { emit(HeadReceived{ aHead }); }
  std::size_t write(std::string_view aBytes)
  {
    emit(BodyReceived{ std::string{ aBytes } });
    return 0;
  }
  void finish() { end(ExchangeResult::Complete, ""); }
  void abort() { end(ExchangeResult::Interrupted, "response aborted by the instance"); }
  bool isDisconnected() const { return mDisconnected; }

  /// \brief The requester closed its connection.
  void disconnect()
  {
    if (mClosed || std::exchange(mDisconnected, true)) {
      return;
    }
    const std::function<void()> onDisconnect = mOnDisconnect;
    if (onDisconnect) {
      onDisconnect();
    }
  }
  /// \brief The node that handles the request crashed.
  void interrupt() { end(ExchangeResult::Interrupted, "instance crashed"); }
  /// \brief \returns true until the response has ended or the requester has disconnected.
  bool isOpen() const { return !mClosed && !mDisconnected; }

  std::function<void()> mOnWritable;
  std::function<void()> mOnDisconnect;

private:
  void emit(const ResponseEvent& aEvent)
  {
    if (!mClosed && !mDisconnected) {
      mSink(aEvent);
    }
  }
  void end(ExchangeResult aResult, const std::string& aReason)
  {
    emit(ExchangeEnded{ aResult, aReason });
    mClosed = true;
  }

  ResponseSink mSink;
  bool mClosed = false;
  bool mDisconnected = false;
};

static_assert(Responder<VirtualResponder>);

} // namespace bulrushrun::scenario
