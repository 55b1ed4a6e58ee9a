#pragma once

#include "bulrushrun/membership/Member.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Roles of instances in the replication of the store's tables: which ones read the store
/// for the fleet, and which one relays the changes within the own zone.
///
/// Every instance computes the roles from its own view of the membership. Views may differ for a
/// while; then there are a few readers more or less, which costs additional calls but loses no
/// changes, because an instance whose data grows stale reads the store itself.
struct ReplicationRoles
{
  /// Instances that read the store's change feeds, in different regions as far as possible.
  std::vector<Member> mStoreReaders;
  /// Instance of the own zone that requests changes from a store reader; the other instances of the
  /// zone request them from it.
  std::optional<Member> mZoneRelay;

  bool isStoreReader(const InstanceId& aInstance) const;
};

/// \brief \returns true when both assign the same roles to the same instances.
bool sameAssignment(const ReplicationRoles& aLeft, const ReplicationRoles& aRight);

/// \brief Number of store readers in a fleet of any size: one may fail while the store rejects the
/// calls of another.
inline constexpr std::size_t kStoreReaders = 3;

/// \brief Assigns the roles; does no I/O.
/// \param aMembers  all known members; dead and leaving ones get no role
/// \param aRegions  region of each zone
ReplicationRoles assignReplicationRoles(const std::vector<Member>& aMembers,
                                        const std::map<ZoneName, RegionName>& aRegions,
                                        const ZoneName& aOwnZone);

} // namespace bulrushrun
