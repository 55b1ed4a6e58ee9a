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
struct NewsRoles
{
  /// Instances that follow the store's feeds, in different regions where there are as many.
  std::vector<Member> mReaders;
  /// First instance of the own zone, which asks a reader; the others of the zone ask it.
  std::optional<Member> mRelay;

  /// \brief \returns true when the instance is one of the readers.
  bool isReader(const InstanceId& aInstance) const;
};

/// \brief \returns true when the same instances have the same roles.
bool namesSame(const NewsRoles& aLeft, const NewsRoles& aRight);

/// \brief Readers of a fleet of any size: one may be lost and another one turned away by the store.
inline constexpr std::size_t kNewsReaders = 3;

/// \brief Assigns the roles.
/// \param aMembers  all known members; those that are dead or leaving get no role
/// \param aRegions  region of each zone
NewsRoles assignNewsRoles(const std::vector<Member>& aMembers,
                          const std::map<ZoneName, RegionName>& aRegions,
                          const ZoneName& aOwnZone);

} // namespace bulrushrun
