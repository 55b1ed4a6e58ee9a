#pragma once

#include "bulrushrun/core.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bulrushrun {

/// \brief Recognises callers that repeat refused requests at once and often instead of waiting for
/// the time that they were told.
///
/// Remembers refusals by a hash of what a repeat has in common with its first attempt, in a table
/// of fixed size in which a newer refusal replaces an older one. Another caller may ask for the
/// same by chance, so that a single early arrival is not taken for a repeat.
class EarlyRepeats
{
public:
  /// \brief A request was refused and told to return at a time. A time that was told before and has
  /// not passed stays: otherwise different callers of a popular object, all refused, would prolong
  /// it without end.
  void onRefused(std::uint64_t aRequest, TimePoint aReturnAt, TimePoint aNow)
  {
    Entry& entry = mEntries.at(aRequest % kEntries);
    if (entry.mRequest != aRequest || aNow >= entry.mReturnAt) {
      entry = { aRequest, aReturnAt, 0 };
    }
  }
  /// \brief Counts an arrival. \returns true when it is one of several before the stated time
  bool isEarly(std::uint64_t aRequest, TimePoint aNow)
  {
    Entry& entry = mEntries.at(aRequest % kEntries);
    if (entry.mRequest != aRequest) {
      return false;
    }
    if (aNow >= entry.mReturnAt) {
      entry = {};
      return false;
    }
    return ++entry.mEarlyArrivals >= kMinEarlyArrivals;
  }

private:
  static constexpr std::size_t kEntries = 512;
  static constexpr int kMinEarlyArrivals = 2;

  struct Entry
  {
    std::uint64_t mRequest = 0;
    TimePoint mReturnAt;
    int mEarlyArrivals = 0;
  };

  std::array<Entry, kEntries> mEntries{};
};

} // namespace bulrushrun
