#pragma once

#include <chrono>
#include <cstdint>

/// \file
/// \brief Time types. Decision logic takes the time as an argument and never reads a clock.

namespace bulrushrun {

/// \brief Duration in microseconds.
using Duration = std::chrono::microseconds;

/// \brief Tag of the monotonic clock that a host supplies (real or simulated).
struct MonotonicTimeline
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

/// \brief Time on the monotonic clock of one process.
using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

/// \brief Seconds since 1970-01-01T00:00:00Z, for expiry times and records stored in the platform.
using UnixSeconds = std::chrono::duration<std::int64_t>;

/// \brief \returns the duration in whole milliseconds, truncated.
constexpr std::int64_t toMillis(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// \brief \returns the duration in seconds.
constexpr double toSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// \brief \returns a duration of the given seconds, truncated to microseconds.
constexpr Duration fromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace bulrushrun
