#include "bulrushrun/customers/CustomerDirectory.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

bool CustomerDirectory::add(Customer aCustomer, const std::vector<std::string>& aKeys)
{
  std::vector<Sha256Digest> digests;
  digests.reserve(aKeys.size());
  for (const std::string& key : aKeys) {
    digests.push_back(sha256(key));
  }
  const bool isTaken =
    mPositionsByName.contains(aCustomer.mName) ||
    std::any_of(digests.begin(), digests.end(), [this](const Sha256Digest& aDigest) {
      return mPositionsByDigest.contains(aDigest);
    });
  if (isTaken) {
    return false;
  }
  const std::size_t position = mCustomers.size();
  for (const Sha256Digest& digest : digests) {
    mPositionsByDigest.emplace(digest, position);
  }
  mPositionsByName.emplace(aCustomer.mName, position);
  mCustomers.push_back(std::move(aCustomer));
  return true;
}

const Customer* CustomerDirectory::findByKey(std::string_view aKey) const
{
  const auto found = mPositionsByDigest.find(sha256(aKey));
  return found == mPositionsByDigest.end() ? nullptr : &mCustomers[found->second];
}

const Customer* CustomerDirectory::findByName(const CustomerName& aName) const
{
  const auto found = mPositionsByName.find(aName);
  return found == mPositionsByName.end() ? nullptr : &mCustomers[found->second];
}

} // namespace bulrushrun
