#pragma once

#include "bulrushrun/customers.h"
#include "bulrushrun/discovery.h"
#include "bulrushrun/limits/TargetQuota.h"
#include "bulrushrun/routing/ZoneTopology.h"
#include "bulrushrun/steering/AdmissionTerms.h"

#include <optional>
#include <set>

namespace bulrushrun {

/// \brief How the target of a request is chosen.
enum class Affinity
{
  /// The least loaded target.
  None,
  /// The primary target of the affinity key, in whichever zone it is.
  Key,
};

/// \brief Parameters of one choice of a target.
struct PickQuery
{
  Affinity mAffinity = Affinity::None;
  /// Hash of the affinity key, for Affinity::Key.
  std::uint64_t mAffinityKey = 0;
  /// The response is large: a target in this instance's zone saves traffic between zones.
  bool mLargeResponse = false;
  /// Targets that were attempted before.
  std::set<TargetId> mTriedTargets;
  /// Regions in which the request may be served.
  HomeRegions mHomeRegions;
  /// Requests per second that a cold target of the service may get from all instances together.
  double mColdRateLimit = 0;
  /// Time after its registration for which a target counts as cold.
  Duration mColdStartDuration{ 0 };
  /// A target with requests in progress that did not respond for this long is avoided.
  Duration mUnresponsiveAfter = Duration::max();
  /// Terms of the competition for scarce capacity; empty where requests do not compete by priority.
  std::optional<AdmissionTerms> mTerms;
};

/// \brief State that all choices of this instance share.
struct PickContext
{
  ZoneTopology mZones;
  /// All registered targets, for what is known of those that left; may be null.
  const TargetTable* mTargets = nullptr;
  /// Zones whose targets must get no requests.
  std::set<ZoneName> mEvacuated;
  /// This instance's quota of the rate limit on cold targets of its zone.
  TargetQuota mColdTargetQuota;
  /// Hash of the identity of this instance.
  std::uint64_t mInstanceHash = 0;
  /// Share of the requests of a region's callers that may change the region in which they run from
  /// one window of 2 s to the next.
  double mMaxShift = kDefaultMaxShift;
  /// This instance's quota of the rates that targets named, among all instances.
  TargetQuota mFleetQuota;
};

/// \brief A target with the criteria by which it is chosen.
struct TargetCandidate
{
  const KnownTarget* mTarget = nullptr;
  /// Estimated requests in progress.
  double mLoad = 0;
  /// How long work takes there, as a multiple of the usual time.
  double mSlowdown = 1;
  /// Higher values come first.
  double mRank = 0;
  Distance mDistance = Distance::OtherRegion;
  int mRegion = ZoneTopology::kUnknownRegion;
  /// Share of the requests for which the target comes first that go to it again, after it was
  /// unavailable.
  float mReturned = 1;
  /// It registered after this instance started; mReturned then applies only to requests that other
  /// targets received before.
  bool mIsNew = false;
};

/// \brief \returns true while a target tolerates few requests because it has just started.
inline bool isCold(const KnownTarget& aTarget, Duration aColdStartDuration, TimePoint aNow)
{
  const bool isNew = aTarget.mRegisteredAt && aNow - *aTarget.mRegisteredAt < aColdStartDuration;
  return isNew || aNow < aTarget.mColdUntil;
}

} // namespace bulrushrun
