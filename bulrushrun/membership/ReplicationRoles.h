#pragma once

#include "bulrushrun/membership/Member.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrushrun {

/// \brief Who reads the store for the fleet, and whom each instance asks for news. Pure.
///
/// Every instance computes the roles from its own view of the membership. Views may differ for a
/// while: then there are a few readers more or less, which costs calls but no news, because an
/// instance whose news grows old reads the store itself.
struct ReplicationRoles
{
  /// Instances that follow the store's feeds, in different regions where there are as many.
  std::vector<Member> mStoreReaders;
  /// First instance of the own zone, which asks a reader; the others of the zone ask it.
  std::optional<Member> mZoneRelay;

  /// \brief \returns true when the instance is one of the readers.
  bool isStoreReader(const InstanceId& aInstance) const;
};

/// \brief \returns true when the same instances have the same roles.
bool sameAssignment(const ReplicationRoles& aLeft, const ReplicationRoles& aRight);

/// \brief Readers of a fleet of any size: one may be lost and another one turned away by the store.
inline constexpr std::size_t kStoreReaders = 3;

/// \brief Assigns the roles.
/// \param aMembers  all known members; those that are dead or leaving get no role
/// \param aRegions  region of each zone
ReplicationRoles assignReplicationRoles(const std::vector<Member>& aMembers,
                                        const std::map<ZoneName, RegionName>& aRegions,
                                        const ZoneName& aOwnZone);

} // namespace bulrushrun
