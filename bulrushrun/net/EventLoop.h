#pragma once

#include "bulrushrun/core.h"

#include <h2o.h>

#include <functional>
#include <memory>

namespace bulrushrun {

/// \brief The one loop of a process: h2o's event loop with timers of any length.
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

  /// \brief \returns the monotonic time, read afresh.
  static TimePoint now();

  /// \brief Runs \a aCallback after a delay.
  TimerId after(Duration aDelay, TimerQueue::Callback aCallback);
  /// \brief Disarms a timer.
  void cancelTimer(TimerId aTimer) { mTimers.cancel(aTimer); }
  /// \brief Calls \a aCallback whenever the descriptor is readable. The descriptor stays the
  /// caller's.
  void watch(int aDescriptor, std::function<void()> aCallback);

  /// \brief Runs until stop().
  void run();
  /// \brief Lets run() return after the current round.
  void stop() { mStopped = true; }

  /// \brief \returns h2o's loop.
  h2o_loop_t* raw() { return mLoop; }

private:
  /// h2o's timer entry, with the way back to the loop.
  struct Round
  {
    h2o_timeout_entry_t mEntry;
    EventLoop* mLoop;
  };

  static void onRound(h2o_timeout_entry_t* aEntry);

  std::int32_t waitMillis() const;
  void runTimers();

  h2o_loop_t* mLoop;
  /// Timers run inside a timer of h2o: h2o reports on the sockets that they used before it frees
  /// those that they closed.
  h2o_timeout_t mImmediately{};
  Round mRound{};
  TimerQueue mTimers;
  std::vector<std::unique_ptr<std::function<void()>>> mWatchers;
  bool mStopped = false;
};

} // namespace bulrushrun
