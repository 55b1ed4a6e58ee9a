#pragma once

#include "bulrushrun/core.h"

#include <h2o.h>

#include <functional>
#include <memory>
#include <utility>

namespace bulrushrun {

/// \brief Event loop of the process: h2o's loop, with timers of arbitrary delay.
///
/// \code
/// EventLoop loop;
/// loop.after(std::chrono::seconds(1), [&] { loop.stop(); });
/// loop.run();
/// \endcode
class EventLoop
{
public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  EventLoop(EventLoop&&) = delete;
  EventLoop& operator=(EventLoop&&) = delete;
  ~EventLoop();

  /// \brief \returns the monotonic time, read from the clock at each call.
  static TimePoint now();

  /// \brief Runs \a aCallback once after a delay.
  TimerId after(Duration aDelay, TimerQueue::Callback aCallback);
  /// \brief Cancels a timer.
  void cancelTimer(TimerId aTimer) { mTimers.cancel(aTimer); }
  /// \brief Calls \a aCallback whenever the descriptor is readable. The caller keeps ownership of
  /// the descriptor.
  void watch(int aDescriptor, std::function<void()> aCallback);

  /// \brief Sets a callback that runs after the events of each iteration.
  void setAfterEvents(std::function<void()> aCallback) { mAfterEvents = std::move(aCallback); }

  /// \brief Runs until stop().
  void run();
  /// \brief Makes run() return after the current iteration.
  void stop() { mStopped = true; }

  /// \brief \returns h2o's loop.
  h2o_loop_t* raw() { return mLoop; }

private:
  /// h2o's timer entry, with a pointer back to the loop.
  struct TimerEntry
  {
    h2o_timeout_entry_t mEntry;
    EventLoop* mLoop;
  };

  static void onZeroTimeout(h2o_timeout_entry_t* aEntry);

  std::int32_t waitMillis() const;
  void runTimersInsideLoop();

  h2o_loop_t* mLoop;
  /// Timers run inside a zero-delay timer of h2o, so that h2o delivers the pending events of the
  /// sockets that they have used before it frees those that they have closed.
  h2o_timeout_t mZeroTimeout{};
  TimerEntry mTimerEntry{};
  TimerQueue mTimers;
  std::vector<std::unique_ptr<std::function<void()>>> mWatchers;
  std::function<void()> mAfterEvents;
  bool mStopped = false;
};

} // namespace bulrushrun
