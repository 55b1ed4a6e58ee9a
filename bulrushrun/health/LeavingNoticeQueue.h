#pragma once

#include "bulrushrun/health/LeavingTargets.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace bulrushrun {

/// \brief Recent notices of leaving targets, to be sent with each gossip message for a while.
///
/// Ages instead of times are exchanged, so the clocks of the instances need not agree. Performs no
/// I/O; the time is passed as an argument.
class LeavingNoticeQueue
{
public:
  /// \brief Age from which a notice is neither sent nor accepted. Longer than gossip takes to reach
  /// all instances.
  static constexpr Duration kRetention = std::chrono::seconds(30);
  static constexpr std::size_t kMaxNotices = 256;
  /// \brief Maximum number of notices per message, so that a message fits into one Ethernet frame.
  static constexpr std::size_t kNoticesPerMessage = 16;

  /// \brief \returns true when the notice of a peer names an incarnation and is recent.
  static bool isAcceptable(const LeavingNotice& aNotice)
  {
    return !aNotice.mTarget.text().empty() && aNotice.mIncarnation != Incarnation{} &&
           aNotice.mAge >= Duration{ 0 } && aNotice.mAge < kRetention;
  }

  /// \brief Adds a target that is leaving; the oldest notice is dropped when there are too many.
  /// \param aSeen  when the target said so
  void add(const TargetId& aTarget, Incarnation aIncarnation, TimePoint aSeen)
  {
    if (mEntries.size() >= kMaxNotices) {
      mEntries.pop_front();
    }
    mEntries.push_back({ aTarget, aIncarnation, aSeen });
  }

  /// \brief \returns the notices for the next message; successive messages carry all of them in
  /// turn.
  std::vector<LeavingNotice> next(TimePoint aNow)
  {
    std::erase_if(mEntries, [&](const Entry& aEntry) { return aNow - aEntry.mSeen >= kRetention; });
    std::vector<LeavingNotice> notices;
    const std::size_t count = std::min(mEntries.size(), kNoticesPerMessage);
    for (std::size_t i = 0; i < count; ++i) {
      mNext = (mNext + 1) % mEntries.size();
      const Entry& entry = mEntries[mNext];
      notices.push_back(
        { entry.mTarget, UnixSeconds{ 0 }, entry.mIncarnation, aNow - entry.mSeen });
    }
    return notices;
  }

private:
  struct Entry
  {
    TargetId mTarget;
    Incarnation mIncarnation;
    TimePoint mSeen;
  };

  std::deque<Entry> mEntries;
  std::size_t mNext = 0;
};

} // namespace bulrushrun
