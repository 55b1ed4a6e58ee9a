#include "bulrushrun/net/EventLoop.h"

#include <unistd.h>

#include <algorithm>

namespace bulrushrun {

namespace {

constexpr std::int32_t kMaxWaitMillis = 1000;

void onReadable(h2o_socket_t* aSocket, const char* aError)
{
  if (aError == nullptr) {
    (*static_cast<std::function<void()>*>(aSocket->data))();
  }
}

} // namespace

EventLoop::EventLoop()
  : mLoop(h2o_evloop_create())
{
  h2o_timeout_init(mLoop, &mZeroTimeout, 0);
  mTimerEntry = { { 0, onZeroTimeout, {} }, this };
}

EventLoop::~EventLoop()
{
  h2o_timeout_dispose(mLoop, &mZeroTimeout);
}

TimePoint EventLoop::now()
{
  const std::chrono::steady_clock::duration since =
    std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Duration>(since) };
}

TimerId EventLoop::after(Duration aDelay, TimerQueue::Callback aCallback)
{
  return mTimers.add(now() + aDelay, std::move(aCallback));
}

void EventLoop::watch(int aDescriptor, std::function<void()> aCallback)
{
  h2o_socket_t* socket =
    h2o_evloop_socket_create(mLoop, ::dup(aDescriptor), H2O_SOCKET_FLAG_DONT_READ);
  mWatchers.push_back(std::make_unique<std::function<void()>>(std::move(aCallback)));
  socket->data = mWatchers.back().get();
  h2o_socket_read_start(socket, onReadable);
}

std::int32_t EventLoop::waitMillis() const
{
  const std::optional<TimePoint> due = mTimers.nextDue();
  if (!due) {
    return kMaxWaitMillis;
  }
  const Duration left = std::max(*due - now(), Duration{ 0 });
  const std::int64_t millis = toMillis(left + std::chrono::microseconds(999));
  return static_cast<std::int32_t>(std::min<std::int64_t>(millis, kMaxWaitMillis));
}

void EventLoop::run()
{
  mStopped = false;
  while (!mStopped) {
    h2o_evloop_run(mLoop, waitMillis());
    runTimersInsideLoop();
    if (mAfterEvents) {
      mAfterEvents();
    }
  }
}

void EventLoop::runTimersInsideLoop()
{
  h2o_timeout_link(mLoop, &mZeroTimeout, &mTimerEntry.mEntry);
  h2o_timeout_run(mLoop, &mZeroTimeout, h2o_now(mLoop));
}

void EventLoop::onZeroTimeout(h2o_timeout_entry_t* aEntry)
{
  reinterpret_cast<TimerEntry*>(aEntry)->mLoop->mTimers.runDue(now());
}

} // namespace bulrushrun
