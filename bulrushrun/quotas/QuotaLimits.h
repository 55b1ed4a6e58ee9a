#pragma once

#include "bulrushrun/customers.h"

#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Identifies a limit in messages between instances.
using LimitId = StrongNumber<struct LimitIdTag>;

/// \brief Bounds that the deployment sets for the overshoot of quotas.
struct QuotaBounds
{
  /// Length of the sliding window in which requests are counted.
  Duration mWindow = std::chrono::seconds(5);
  /// Fraction by which the requests of a window may exceed rate x window + burst.
  double mOverage = 0.1;
  /// Requests that may exceed it in addition.
  double mSlack = 20;
};

/// \brief One limit: requests per second, and requests that may exceed the rate at once.
struct QuotaLimit
{
  CustomerName mName;
  double mRate = 0;
  double mBurst = 0;
};

/// \brief Limits of the customers of one configuration version.
class QuotaLimits
{
public:
  using HashFunction = std::function<std::uint64_t(std::string_view)>;

  QuotaLimits() = default;
  /// \brief Takes the customers with a quota. Two names with the same hash get different ids, which
  /// are the same in all instances that have the same configuration.
  explicit QuotaLimits(const std::vector<Customer>& aCustomers,
                       const HashFunction& aHash = hashText);

  /// \brief \returns the limit, or nullptr. O(1)
  const QuotaLimit* find(LimitId aId) const;
  /// \brief \returns the id of a customer's limit, or nothing for a customer without one. O(1)
  std::optional<LimitId> idOf(const CustomerName& aName) const;

  bool empty() const { return mLimits.empty(); }
  std::size_t size() const { return mLimits.size(); }

private:
  std::unordered_map<std::uint64_t, QuotaLimit> mLimits;
  std::unordered_map<CustomerName, LimitId> mIds;
};

} // namespace bulrushrun
