#pragma once

#include "bulrushrun/core.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Regions in which a request may be served: all, some or none.
///
/// \code
/// HomeRegions regions{ route.mHomeRegions };
/// regions.restrictTo(customer.mHomeRegions);
/// \endcode
class HomeRegions
{
public:
  /// \brief All regions.
  HomeRegions() = default;
  HomeRegions(std::initializer_list<RegionName> aRegions)
    : HomeRegions(std::vector<RegionName>{ aRegions })
  {
  }
  /// \param aConfigured  the configured list; empty for all regions
  explicit HomeRegions(const std::vector<RegionName>& aConfigured) { restrictTo(aConfigured); }

  /// \brief Keeps the regions that are also in a configured list, in which empty stands for all.
  void restrictTo(const std::vector<RegionName>& aConfigured);
  /// \brief \returns false when all regions are allowed.
  bool isRestricted() const { return mIsRestricted; }
  /// \brief \returns true when no region is allowed.
  bool isNone() const { return mIsRestricted && mAllowed.empty(); }
  /// \brief \returns true when requests may be served in a region.
  bool contains(const RegionName& aRegion) const;
  /// \brief \returns the allowed regions, comma-separated, `none` or `all`.
  std::string text() const;

private:
  bool mIsRestricted = false;
  /// Meaningful only if restricted.
  std::vector<RegionName> mAllowed;
};

} // namespace bulrushrun
