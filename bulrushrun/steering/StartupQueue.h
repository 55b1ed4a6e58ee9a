#pragma once

#include "bulrushrun/host.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Requests that arrived before the instance knows configuration and targets.
///
/// Reading both takes a fraction of a second. A refusal would cost the caller one of few attempts,
/// and all instances that came back together would refuse alike.
template<class HostType>
class StartupQueue
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;
  /// Takes a request over, with the time of its arrival.
  using Accept = std::function<void(HttpRequest, ResponderPtr, TimePoint)>;

  StartupQueue(HostType& aHost, Accept aAccept)
    : mHost(aHost)
    , mAccept(std::move(aAccept))
  {
  }

  /// \brief Keeps a request until release(), or until it waited for as long as reading may take.
  void hold(HttpRequest aRequest, ResponderPtr aResponder)
  {
    if (mWaiting.size() >= kMaxWaiting) {
      mAccept(std::move(aRequest), std::move(aResponder), mHost.now());
      return;
    }
    if (mWaiting.empty()) {
      mTimer = mHost.after(kLongestWait, [this] { release(); });
    }
    mWaiting.push_back({ std::move(aRequest), std::move(aResponder), mHost.now() });
  }

  /// \brief Hands all requests over whose callers are still there.
  void release()
  {
    if (mWaiting.empty()) {
      return;
    }
    mHost.cancelTimer(mTimer);
    for (Waiting& waiting : std::exchange(mWaiting, {})) {
      if (!waiting.mResponder->isDisconnected()) {
        mAccept(std::move(waiting.mRequest), std::move(waiting.mResponder), waiting.mArrived);
      }
    }
  }

private:
  struct Waiting
  {
    HttpRequest mRequest;
    ResponderPtr mResponder;
    TimePoint mArrived;
  };

  /// Two round trips to a store in another region, and reading a large table on a slow instance.
  static constexpr Duration kLongestWait = std::chrono::milliseconds(400);
  /// Bounds the memory; whatever comes beyond is refused.
  static constexpr std::size_t kMaxWaiting = 256;

  HostType& mHost;
  Accept mAccept;
  std::vector<Waiting> mWaiting;
  TimerId mTimer;
};

} // namespace bulrushrun
