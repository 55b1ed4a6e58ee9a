#pragma once

#include <algorithm>

/// \file
/// \brief How far requests of a priority may fill the queue of a target.

namespace bulrushrun {

/// \brief Rank of a priority among those of one service; 0 is the most urgent.
struct PriorityLevel
{
  int mLevel = 0;
  /// Number of levels of the service, at least 1.
  int mLevels = 1;
};

/// \brief Limits on the load of a target, as multiples of its slots, by priority.
///
/// Instances share no queue, and targets queue in order of arrival. A less urgent request finds its
/// limit reached at a shorter queue, so that the room behind it is left to more urgent ones. Within
/// a priority, a request that would be late anyway finds it reached earlier than one that can be in
/// time, but later than any less urgent request does.
class QueueLimit
{
public:
  explicit QueueLimit(PriorityLevel aLevel)
    : mLevel(aLevel)
  {
  }

  /// \brief \returns the maximum load, the new request included, of the target that keeps the
  /// object.
  double atPrimary(bool aIsInTime) const
  {
    const double step = std::min(kMaxStep, (kLongestQueue - kShortestQueue) / mLevel.mLevels);
    return kLongestQueue - step * (mLevel.mLevel + (aIsInTime ? 0 : kLateStep));
  }
  /// \brief \returns the maximum load, the new request included, of a target that keeps other
  /// objects.
  /// \param aBusyShare  share of the targets without a free slot
  ///
  /// A cold execution there takes three times as long and evicts another object, so that under
  /// overload each one costs more than a refusal. Only nearly idle targets take them, which leaves
  /// the rest of each region's slots to its own objects.
  static double atOther(double aBusyShare) { return aBusyShare < kMaxBusyShare ? kIdle : 0; }

private:
  /// Many targets decline from three requests a slot on. Loads are known late, so that
  /// a limit at that point lets more requests be declined than refused.
  static constexpr double kLongestQueue = 2.7;
  static constexpr double kShortestQueue = 1.3;
  static constexpr double kMaxStep = 0.45;
  /// Part of a step by which the limit of late requests is shorter.
  static constexpr double kLateStep = 0.33;
  static constexpr double kIdle = 0.6;
  /// In the model of ScarceCapacityTest, 0.2 refuses 1 in 6 of the least urgent requests while
  /// slots are free; without this limit, overload costs a quarter of the requests that are in time.
  static constexpr double kMaxBusyShare = 0.35;

  PriorityLevel mLevel;
};

} // namespace bulrushrun
