#pragma once

#include "bulrushrun/customers/Customer.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Customers of one configuration version, found by key.
///
/// Keys are kept as digests, so that they appear in no dump of the process.
class CustomerDirectory
{
public:
  /// \brief Adds a customer with its keys.
  /// \returns false, and adds nothing, when one of the keys belongs to another customer
  bool add(Customer aCustomer, const std::vector<std::string>& aKeys);

  /// \brief \returns the customer that holds a key, or nullptr. O(1)
  const Customer* findByKey(std::string_view aKey) const;
  /// \brief \returns the customer of a name, or nullptr. O(1)
  const Customer* findByName(const CustomerName& aName) const;

  const std::vector<Customer>& customers() const { return mCustomers; }
  /// \brief \returns the number of keys of all customers.
  std::size_t keyCount() const { return mPositionsByDigest.size(); }

private:
  std::vector<Customer> mCustomers;
  /// Positions in mCustomers.
  std::unordered_map<std::string, std::size_t> mPositionsByDigest;
  std::unordered_map<CustomerName, std::size_t> mPositionsByName;
};

} // namespace bulrushrun
