#pragma once

#include "bulrushrun/core/StrongNumber.h"
#include "bulrushrun/core/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace bulrushrun {

/// \brief Timers of an event loop, ordered by due time; timers due at the same time run in the
/// order in which they were added.
///
/// \code
/// TimerId id = timers.add(now + std::chrono::seconds(1), [&] { probe(); });
/// timers.runDue(later);
/// \endcode
class TimerQueue
{
public:
  using Callback = std::function<void()>;

  /// \brief Adds a timer. O(log n).
  TimerId add(TimePoint aDue, Callback aCallback)
  {
    mLastId = mLastId.next();
    mDueTimes.emplace(mLastId.value(), aDue);
    mTimers.emplace(std::pair{ aDue, mLastId.value() }, std::move(aCallback));
    return mLastId;
  }

  /// \brief Cancels a timer; one that already ran is ignored.
  void cancel(TimerId aId)
  {
    const auto due = mDueTimes.find(aId.value());
    if (due == mDueTimes.end()) {
      return;
    }
    mTimers.erase(std::pair{ due->second, aId.value() });
    mDueTimes.erase(due);
  }

  /// \brief \returns when the next timer is due, or std::nullopt when there is none.
  std::optional<TimePoint> nextDue() const
  {
    if (mTimers.empty()) {
      return std::nullopt;
    }
    return mTimers.begin()->first.first;
  }

  /// \brief Runs the earliest timer if it is due. \returns false when none is due.
  bool runOne(TimePoint aNow)
  {
    const auto first = mTimers.begin();
    if (first == mTimers.end() || first->first.first > aNow) {
      return false;
    }
    const Callback callback = std::move(first->second);
    mDueTimes.erase(first->first.second);
    mTimers.erase(first);
    callback();
    return true;
  }

  /// \brief Runs all timers that are due.
  void runDue(TimePoint aNow)
  {
    while (runOne(aNow)) {
    }
  }

private:
  std::map<std::pair<TimePoint, std::uint64_t>, Callback> mTimers;
  std::unordered_map<std::uint64_t, TimePoint> mDueTimes;
  TimerId mLastId;
};

} // namespace bulrushrun
