#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/steering/RegionChoice.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Usable capacity of a service in one region, as one instance sees it.
struct RegionRoom
{
  int mTargets = 0;
  int mSlots = 0;
  /// Estimated requests in progress.
  double mLoad = 0;
  /// Targets that get no requests: evacuated, ejected or resting.
  int mUnavailable = 0;
};

/// \brief Counts the regions to which an instance sends requests, by service, with the reasons.
class RegionShares
{
public:
  using Choices = std::array<std::uint64_t, kRegionChoices>;

  /// Requests of one service since the last report.
  struct ServiceShares
  {
    std::map<RegionName, std::uint64_t> mSent;
    Choices mChoices{};
  };

  /// \brief Records that a request was sent to a region.
  void add(const ServiceName& aService, const RegionName& aRegion, RegionChoice aChoice);
  /// \brief \returns the requests since the last call by service. At most kMaxServices are counted.
  std::map<ServiceName, ServiceShares> take();
  /// \brief Appends the totals in Prometheus text format.
  void render(std::string& aText) const;

  /// \brief \returns the shares of a service as text for the log.
  static std::string format(const ServiceName& aService,
                            const ServiceShares& aShares,
                            const std::map<RegionName, RegionRoom>& aRooms);

private:
  /// Limits memory use and log volume; requests of further services are not counted.
  static constexpr std::size_t kMaxServices = 32;

  std::map<ServiceName, ServiceShares> mRecent;
  std::map<ServiceName, ServiceShares> mTotals;
};

} // namespace bulrushrun
