#pragma once

#include "bulrushrun/steering/TargetPicker.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrushrun::steering_test {

/// \brief Size and load of a PickerFleet.
struct PickerFleetOptions
{
  std::size_t mInstancesPerZone = 4;
  /// Targets in each zone; zones 0 and 1 are in region 0, zones 2 and 3 in region 1, and so on.
  std::array<int, 6> mTargetsOfZone{ 8, 8, 8, 8, 8, 8 };
  int mSlots = 6;
  /// Requests per second from the callers of each region.
  std::array<double, 3> mRates{ 400, 400, 400 };
  /// Objects that the callers of each region use.
  int mObjectsPerRegion = 120;
  /// Requests without affinity keys instead of requests for objects.
  bool mWithoutKeys = false;
  /// Instances learn of events up to this much later, each at another time.
  Duration mMaxDelay = std::chrono::milliseconds(1000);
  std::uint64_t mSeed = 1;
  /// Terms of all requests, if they compete by priority.
  std::optional<AdmissionTerms> mTerms = {};
};

/// \brief The pickers of many instances, each with its own view of one service's targets, under a
/// virtual clock. Records in which region each request runs.
class PickerFleet
{
public:
  static constexpr std::size_t kZones = 6;
  static constexpr std::size_t kRegions = 3;

  explicit PickerFleet(const PickerFleetOptions& aOptions);

  /// \brief Lets callers send requests for a time.
  void run(Duration aDuration);
  TimePoint now() const { return mNow; }

  /// \brief Evacuates a zone, or ends that.
  void setEvacuated(std::size_t aZone, bool aEvacuated);
  /// \brief Ejects all targets of a zone, as after failures, for a time that grows with the count.
  void eject(std::size_t aZone, int aTimes);
  /// \brief Loads all targets of a zone with requests that no instance of the fleet sent.
  void setExternalLoad(std::size_t aZone, int aRequestsPerTarget);
  /// \brief Lets a share of a zone's targets leave.
  void removeTargets(std::size_t aZone, double aShare);
  /// \brief Adds targets to a zone.
  void addTargets(std::size_t aZone, int aCount);
  /// \brief Replaces an instance by a new one that learns the placements from a peer.
  void restart(std::size_t aInstance);
  void setRate(std::size_t aRegion, double aRate) { mOptions.mRates.at(aRegion) = aRate; }

  /// \brief \returns the largest share of the requests of a region's callers that changed their
  /// region between two neighbouring windows of 2 s, both after a time. Windows of few requests are
  /// left out, and those in which targets became unavailable, which requests leave at once.
  double largestShift(TimePoint aAfter);
  /// \brief \returns the injected events and the shares around the largest shift, for the message
  /// of a failed check.
  const std::string& history() const { return mHistory; }
  /// \brief \returns the share of a region's requests since a time that ran in another region.
  double remoteShare(std::size_t aRegion, TimePoint aAfter) const;
  /// \brief \returns the share of all requests since a time for which no target was picked.
  double refusedShare(TimePoint aAfter) const;

private:
  struct InstanceState
  {
    std::size_t mZone = 0;
    int mStarts = 0;
    std::unique_ptr<TargetTable> mTable;
    std::unique_ptr<TargetPicker> mPicker;
    PickContext mContext;
  };
  struct TargetState
  {
    std::size_t mZone = 0;
    int mInFlight = 0;
    int mExternalLoad = 0;
  };
  struct Run
  {
    TimePoint mAt;
    std::size_t mCallers = 0;
    /// Region of the target; kRegions for a refused request.
    std::size_t mRegion = kRegions;
    RegionChoice mChoice = RegionChoice::Preferred;
  };
  using Event = std::function<void()>;

  void addInstance(std::size_t aIndex);
  TargetEntry entry(const TargetId& aTarget) const;
  void broadcast(const std::function<void(InstanceState&)>& aEvent);
  void send(std::size_t aRegion);
  void share(const Placement& aPlacement);
  void note(const std::string& aEvent);
  std::string choicesAt(TimePoint aStart, std::size_t aCallers) const;
  bool isExcused(TimePoint aStart) const;
  std::vector<TargetId> targetsOf(std::size_t aZone) const;

  PickerFleetOptions mOptions;
  Random mRandom;
  TimePoint mNow{ std::chrono::seconds(100) };
  std::multimap<TimePoint, Event> mEvents;
  std::map<TargetId, TargetState> mTargets;
  std::vector<InstanceState> mInstances;
  std::vector<Run> mRuns;
  std::array<double, kRegions> mDue{};
  std::string mHistory;
  /// When targets became unavailable, from the first to the last instance.
  std::vector<TimePoint> mUnavailableAt;
};

} // namespace bulrushrun::steering_test
