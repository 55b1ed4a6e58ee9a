#include "bulrushrun/customers/HomeRegions.h"

#include <algorithm>

namespace bulrushrun {

void HomeRegions::restrictTo(const std::vector<RegionName>& aConfigured)
{
  if (aConfigured.empty()) {
    return;
  }
  if (!mIsRestricted) {
    mIsRestricted = true;
    mAllowed = aConfigured;
    return;
  }
  std::erase_if(mAllowed, [&](const RegionName& aRegion) {
    return std::find(aConfigured.begin(), aConfigured.end(), aRegion) == aConfigured.end();
  });
}

bool HomeRegions::contains(const RegionName& aRegion) const
{
  return !mIsRestricted || std::find(mAllowed.begin(), mAllowed.end(), aRegion) != mAllowed.end();
}

std::string HomeRegions::text() const
{
  if (!mIsRestricted) {
    return "all";
  }
  std::string text;
  for (const RegionName& region : mAllowed) {
    text += (text.empty() ? "" : ",") + region.text();
  }
  return text.empty() ? "none" : text;
}

} // namespace bulrushrun
