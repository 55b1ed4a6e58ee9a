#pragma once

#include "bulrushrun/customers/Customer.h"

#include <cstddef>
#include <cstring>
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
  /// \returns false, and adds nothing, when its name or one of the keys belongs to another customer
  bool add(Customer aCustomer, const std::vector<std::string>& aKeys);

  /// \brief \returns the customer that holds a key, or nullptr. O(1)
  const Customer* findByKey(std::string_view aKey) const;
  /// \brief \returns the customer of a name, or nullptr. O(1)
  const Customer* findByName(const CustomerName& aName) const;

  const std::vector<Customer>& customers() const { return mCustomers; }
  /// \brief \returns the number of keys of all customers.
  std::size_t keyCount() const { return mPositionsByDigest.size(); }

private:
  /// Digests are spread evenly, so that any part of one is a hash.
  struct DigestHash
  {
    std::size_t operator()(const Sha256Digest& aDigest) const
    {
      std::size_t hash = 0;
      std::memcpy(&hash, aDigest.data(), sizeof(hash));
      return hash;
    }
  };

  std::vector<Customer> mCustomers;
  /// Positions in mCustomers.
  std::unordered_map<Sha256Digest, std::size_t, DigestHash> mPositionsByDigest;
  std::unordered_map<CustomerName, std::size_t> mPositionsByName;
};

} // namespace bulrushrun
