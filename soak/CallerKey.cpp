#include "soak/CallerKey.h"

#include "bulrushrun/core.h"

#include <nlohmann/json.hpp>

namespace bulrushrun::soak {

namespace {

constexpr std::uint64_t kCustomers = 8;
/// One in so many requests has no key; two more have keys of limited lifetime.
constexpr std::uint64_t kKinds = 20;
constexpr std::uint64_t kRemovedVersionsAgo = 2;

std::string customerName(std::uint64_t aNumber)
{
  return "c" + std::to_string(aNumber);
}

std::string temporaryKey(std::uint64_t aVersion)
{
  return "temporary-" + std::to_string(aVersion);
}

} // namespace

CallerKey CallerKey::permanent()
{
  return { customerName(0), "key-of-" + customerName(0), std::nullopt };
}

CallerKey CallerKey::choose(const std::string& aRequestId, std::uint64_t aNewestVersion)
{
  const std::uint64_t hash = hashText(aRequestId);
  // Added by the version before the newest one, or removed some versions ago.
  const std::uint64_t age = 1 + (hash / kKinds % 2) * (kLifetime + kRemovedVersionsAgo);
  const std::uint64_t addedBy = aNewestVersion > age ? aNewestVersion - age : 0;
  switch (hash % kKinds) {
    case 0:
      return { customerName(0), "", std::nullopt };
    case 1:
    case 2:
      return { customerName(0), temporaryKey(addedBy), addedBy };
    default:
      break;
  }
  const std::string customer = customerName(hash / kKinds % kCustomers);
  return { customer, "key-of-" + customer, std::nullopt };
}

std::string CallerKey::customers(std::uint64_t aVersion)
{
  nlohmann::json customers = nlohmann::json::array();
  for (std::uint64_t i = 0; i < kCustomers; ++i) {
    const std::string name = customerName(i);
    nlohmann::json keys{ "key-of-" + name };
    for (std::uint64_t age = 0; i == 0 && age < kLifetime && age < aVersion; ++age) {
      keys.push_back(temporaryKey(aVersion - age));
    }
    nlohmann::json customer{ { "name", name }, { "apiKeys", keys }, { "priority", i % 3 } };
    if (name == kHomeCustomer) {
      customer["homeRegions"] = { "q" };
    }
    customers.push_back(customer);
  }
  return customers.dump();
}

} // namespace bulrushrun::soak
