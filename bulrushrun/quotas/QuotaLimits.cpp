#include "bulrushrun/quotas/QuotaLimits.h"

#include <algorithm>
#include <cmath>

namespace bulrushrun {

QuotaLimits::QuotaLimits(const std::vector<Customer>& aCustomers, const HashFunction& aHash)
{
  for (const Customer& customer : aCustomers) {
    const CustomerQuota& quota = customer.mQuota;
    if (!quota.isLimited() || !std::isfinite(quota.mRatePerSecond) ||
        mIds.contains(customer.mName)) {
      continue;
    }
    std::uint64_t id = aHash(customer.mName.text());
    while (mLimits.contains(id)) {
      ++id;
    }
    const double burst = std::isfinite(quota.mBurst) ? std::max(quota.mBurst, 0.0) : 0.0;
    mLimits.emplace(id, QuotaLimit{ customer.mName, quota.mRatePerSecond, burst });
    mIds.emplace(customer.mName, LimitId{ id });
  }
}

const QuotaLimit* QuotaLimits::find(LimitId aId) const
{
  const auto found = mLimits.find(aId.value());
  return found == mLimits.end() ? nullptr : &found->second;
}

std::optional<LimitId> QuotaLimits::idOf(const CustomerName& aName) const
{
  const auto found = mIds.find(aName);
  return found == mIds.end() ? std::nullopt : std::optional{ found->second };
}

} // namespace bulrushrun
