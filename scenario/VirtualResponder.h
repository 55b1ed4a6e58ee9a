#pragma once

#include "scenario/Message.h"

#include <utility>

namespace bulrushrun::scenario {

/// \brief Answer channel of a request that a virtual node received.
/// \sa bulrushrun::Responder
class VirtualResponder
{
public:
  explicit VirtualResponder(ReplySink aSink)
    : mSink(std::move(aSink))
  {
  }

  void start(const ResponseHead& aHead) { emit(HeadArrives{ aHead }); }
  std::size_t write(std::string_view aBytes)
  {
    emit(BodyArrives{ std::string{ aBytes } });
    return 0;
  }
  void finish() { close(ExchangeResult::Complete, ""); }
  void abort() { close(ExchangeResult::Interrupted, "aborted"); }
  bool isDisconnected() const { return mGone; }

  /// \brief The other end closed its connection.
  void leave()
  {
    if (mClosed || std::exchange(mGone, true)) {
      return;
    }
    const std::function<void()> onGone = mOnDisconnect;
    if (onGone) {
      onGone();
    }
  }
  /// \brief The node behind this channel died.
  void cut() { close(ExchangeResult::Interrupted, "the instance died"); }
  /// \brief \returns true while an answer is still owed.
  bool isOpen() const { return !mClosed && !mGone; }

  std::function<void()> mOnWritable;
  std::function<void()> mOnDisconnect;

private:
  void emit(const ReplyEvent& aEvent)
  {
    if (!mClosed && !mGone) {
      mSink(aEvent);
    }
  }
  void close(ExchangeResult aEnd, const std::string& aReason)
  {
    emit(EndArrives{ aEnd, aReason });
    mClosed = true;
  }

  ReplySink mSink;
  bool mClosed = false;
  bool mGone = false;
};

static_assert(Responder<VirtualResponder>);

} // namespace bulrushrun::scenario
