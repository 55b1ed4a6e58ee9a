#include "bulrushrun/steering/RegionShares.h"

#include <cmath>
#include <utility>

namespace bulrushrun {

void RegionShares::add(const ServiceName& aService, const RegionName& aRegion, RegionChoice aChoice)
{
  if (mTotals.size() >= kMaxServices && !mTotals.contains(aService)) {
    return;
  }
  for (std::map<ServiceName, ServiceShares>* shares : { &mRecent, &mTotals }) {
    ServiceShares& counts = (*shares)[aService];
    ++counts.mSent[aRegion];
    ++counts.mChoices[static_cast<std::size_t>(aChoice)];
  }
}

std::map<ServiceName, RegionShares::ServiceShares> RegionShares::take()
{
  return std::exchange(mRecent, {});
}

std::string RegionShares::format(const ServiceName& aService,
                                 const ServiceShares& aShares,
                                 const std::map<RegionName, RegionRoom>& aRooms)
{
  std::string text = "service=" + aService.text() + " sent=";
  for (const auto& [region, count] : aShares.mSent) {
    text += (text.back() == '=' ? "" : ",") + region.text() + ":" + std::to_string(count);
  }
  for (std::size_t i = 1; i < kRegionChoices; ++i) {
    text += std::string(" ") + describe(static_cast<RegionChoice>(i)) + "=" +
            std::to_string(aShares.mChoices[i]);
  }
  text += " room=";
  for (const auto& [region, room] : aRooms) {
    text += (text.back() == '=' ? "" : ",") + region.text() + ":" +
            std::to_string(std::lround(room.mLoad)) + "/" + std::to_string(room.mSlots) + "/" +
            std::to_string(room.mTargets) + "-" + std::to_string(room.mUnavailable);
  }
  return text;
}

void RegionShares::render(std::string& aText) const
{
  const std::string regions = "bulrushrun_requests_by_region_total";
  aText += "# HELP " + regions + " Requests sent, by service and region.\n# TYPE " + regions +
           " counter\n";
  for (const auto& [service, shares] : mTotals) {
    for (const auto& [region, count] : shares.mSent) {
      aText += regions + "{service=\"" + service.text() + "\",region=\"" + region.text() + "\"} " +
               std::to_string(count) + "\n";
    }
  }
  const std::string choices = "bulrushrun_requests_by_region_choice_total";
  aText += "# HELP " + choices + " Requests sent, by the reason for their region.\n# TYPE " +
           choices + " counter\n";
  for (const auto& [service, shares] : mTotals) {
    for (std::size_t i = 0; i < kRegionChoices; ++i) {
      aText += choices + "{service=\"" + service.text() + "\",choice=\"" +
               describe(static_cast<RegionChoice>(i)) + "\"} " +
               std::to_string(shares.mChoices[i]) + "\n";
    }
  }
}

} // namespace bulrushrun
