#pragma once

#include "bulrushrun/customers/CallerIdentification.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace bulrushrun {

/// \brief Requests and refusals by customer, and refused keys by reason.
///
/// Only the customers with the most requests have time series of their own; all others are counted
/// together. Each counter only rises while its series exists: a customer that loses its series
/// leaves its counts to the others, and one that gets a series begins at 0.
class CustomerMetrics
{
public:
  /// Customers with time series of their own.
  static constexpr std::size_t kMaxNamed = 32;

  /// \brief Forgets customers that the configuration no longer has.
  void setCustomers(const CustomerDirectory& aCustomers);
  void onRequest(const CustomerName& aCustomer);
  /// \brief Records that a request was refused without having been executed.
  void onRefusal(const CustomerName& aCustomer);
  void onKeyRefusal(KeyRefusal aRefusal) { ++mKeyRefusals[static_cast<std::size_t>(aRefusal)]; }
  /// \brief Gives the series to the customers that now have the most requests. O(customers)
  void updateRanking();
  /// \brief Appends all metrics in Prometheus text format; nothing before setCustomers().
  void render(std::string& aText) const;

private:
  struct Counts
  {
    std::uint64_t mRequests = 0;
    std::uint64_t mRefusals = 0;
  };

  Counts& countsOf(const CustomerName& aCustomer);
  void renderCounter(const char* aName,
                     const char* aHelp,
                     std::uint64_t Counts::*aCount,
                     std::string& aText) const;
  void foldIntoOthers(const Counts& aCounts);

  bool mHasCustomers = false;
  /// Requests of each customer since it was first seen, for the ranking.
  std::unordered_map<CustomerName, std::uint64_t> mTotals;
  std::map<CustomerName, Counts> mNamed;
  Counts mOthers;
  std::array<std::uint64_t, kAllKeyRefusals.size()> mKeyRefusals{};
};

} // namespace bulrushrun
