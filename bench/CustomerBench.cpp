#include "bulrushrun/customers.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <string>

/// \file
/// \brief Time and memory of the customers of a configuration; docs/CAPACITY.md is based on them.

namespace bulrushrun {
namespace {

constexpr std::int64_t kKeysPerCustomer = 2;

std::string keyOf(std::int64_t aCustomer, std::int64_t aNumber)
{
  // 40 characters, like a key of an operator.
  return sha256Hex(std::to_string(aCustomer) + "/" + std::to_string(aNumber)).substr(0, 40);
}

std::size_t allocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

CustomerDirectory directory(std::int64_t aCustomers)
{
  CustomerDirectory customers;
  for (std::int64_t i = 0; i < aCustomers; ++i) {
    Customer customer;
    customer.mName = CustomerName{ "customer-" + std::to_string(i) };
    customer.mHomeRegions = { RegionName{ "region-1" } };
    std::vector<std::string> keys;
    for (std::int64_t key = 0; key < kKeysPerCustomer; ++key) {
      keys.push_back(keyOf(i, key));
    }
    customers.add(std::move(customer), keys);
  }
  return customers;
}

/// Finds the customer of a key, as for each request.
void findByKey(benchmark::State& aState)
{
  const std::size_t before = allocatedBytes();
  const CustomerDirectory customers = directory(aState.range(0));
  aState.counters["bytes_per_customer"] =
    static_cast<double>(allocatedBytes() - before) / static_cast<double>(aState.range(0));
  std::vector<std::string> keys;
  for (std::int64_t i = 0; i < 1000; ++i) {
    keys.push_back(keyOf(i * 7919 % aState.range(0), i % kKeysPerCustomer));
  }
  std::size_t next = 0;
  for (auto iteration : aState) {
    next = (next + 1) % keys.size();
    benchmark::DoNotOptimize(customers.findByKey(keys[next]));
  }
}
BENCHMARK(findByKey)->Arg(76)->Arg(1000)->Arg(10000)->Arg(100000);

/// Builds the directory of a new configuration, keys included.
void buildDirectory(benchmark::State& aState)
{
  for (auto iteration : aState) {
    benchmark::DoNotOptimize(directory(aState.range(0)));
  }
}
BENCHMARK(buildDirectory)->Arg(76)->Arg(10000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace bulrushrun
