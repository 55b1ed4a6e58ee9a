#pragma once

#include "bulrushrun/quotas/QuotaCoordinator.h"
#include "bulrushrun/quotas/QuotaHolder.h"

#include <map>
#include <string>

namespace bulrushrun {

/// \brief Refusals by customer; the number of customers is limited, the rest counts as "other".
class QuotaRefusals
{
public:
  void add(const CustomerName& aCustomer)
  {
    const bool isNamed = mCounts.contains(aCustomer.text()) || mCounts.size() < kMaxCustomers;
    ++mCounts[isNamed ? aCustomer.text() : "other"];
  }
  const std::map<std::string, std::uint64_t>& counts() const { return mCounts; }

private:
  static constexpr std::size_t kMaxCustomers = 32;

  std::map<std::string, std::uint64_t> mCounts;
};

/// \brief Appends the metrics of quotas in Prometheus text format.
void renderQuotaMetrics(std::string& aText,
                        QuotaHolder& aHolder,
                        const QuotaCoordinator& aCoordinator,
                        const QuotaRefusals& aRefusals,
                        std::size_t aWaiting,
                        TimePoint aNow);

} // namespace bulrushrun
