#pragma once

#include "bulrushrun/host.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Queue for requests that arrive before the instance has read configuration and targets.
///
/// Reading both takes a fraction of a second. Refusing a request would cost the caller one of its
/// few attempts, and all instances that restart together would refuse it.
template<class HostType>
class StartupQueue
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;
  /// Accepts a request, with the time of its arrival.
  using Accept = std::function<void(HttpRequest, ResponderPtr, TimePoint)>;

  StartupQueue(HostType& aHost, Accept aAccept)
    : mHost(aHost)
    , mAccept(std::move(aAccept))
  {
  }

  /// \brief Queues a request until release() or until the queue's oldest entry has waited for
  /// kMaxWait.
  void hold(HttpRequest aRequest, ResponderPtr aResponder)
  {
    if (mPending.size() >= kMaxPending) {
      mAccept(std::move(aRequest), std::move(aResponder), mHost.now());
      return;
    }
    if (mPending.empty()) {
      mTimer = mHost.after(kMaxWait, [this] { release(); });
    }
    // Otherwise the body would be kept until the release.
    aResponder->mOnDisconnect = [this, left = aResponder.get()] {
      std::erase_if(mPending, [left](const PendingRequest& aPending) {
        return aPending.mResponder.get() == left;
      });
    };
    mPending.push_back({ std::move(aRequest), std::move(aResponder), mHost.now() });
  }

  /// \brief \returns the number of queued requests.
  std::size_t size() const { return mPending.size(); }

  /// \brief Passes on all requests whose callers are still connected.
  void release()
  {
    if (mPending.empty()) {
      return;
    }
    mHost.cancelTimer(mTimer);
    for (PendingRequest& pending : std::exchange(mPending, {})) {
      if (!pending.mResponder->isDisconnected()) {
        mAccept(std::move(pending.mRequest), std::move(pending.mResponder), pending.mArrived);
      }
    }
  }

private:
  struct PendingRequest
  {
    HttpRequest mRequest;
    ResponderPtr mResponder;
    TimePoint mArrived;
  };

  /// Covers two round trips to a store in another region, and reading a large table on a slow
  /// instance.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(400);
  /// Bounds the memory; further requests are passed on at once, and refused.
  static constexpr std::size_t kMaxPending = 256;

  HostType& mHost;
  Accept mAccept;
  std::vector<PendingRequest> mPending;
  TimerId mTimer;
};

} // namespace bulrushrun
