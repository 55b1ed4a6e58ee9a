#include "bulrushrun/customers.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

Customer customer(const std::string& aName)
{
  Customer customer;
  customer.mName = CustomerName{ aName };
  return customer;
}

/// Guards against a key that identifies two customers, and against a rejected customer that leaves
/// some of its keys behind.
TEST(CustomerDirectoryTest, KeyAndNameBelongToOneCustomer)
{
  CustomerDirectory directory;
  ASSERT_TRUE(directory.add(customer("a"), { "k1", "k2", "k1" }));
  EXPECT_FALSE(directory.add(customer("b"), { "k3", "k2" }));
  EXPECT_FALSE(directory.add(customer("a"), { "k4" }));
  ASSERT_TRUE(directory.add(customer("c"), {}));
  EXPECT_EQ(directory.findByKey("k2")->mName, CustomerName{ "a" });
  for (const char* key : { "k3", "k4", "", "k", "k11", "K1" }) {
    EXPECT_EQ(directory.findByKey(key), nullptr) << key;
  }
  EXPECT_EQ(directory.keyCount(), 2U);
}

/// Guards against keys that are checked without customers, and against an empty list of customers
/// that is taken for none.
TEST(CallerIdentificationTest, KeysAreRequiredWhereThePlanHasCustomers)
{
  const PresentedKey missing;
  EXPECT_FALSE(CallerIdentification::check(std::nullopt, false, missing).mRefusal);
  std::optional<CustomerDirectory> directory{ CustomerDirectory{} };
  EXPECT_EQ(CallerIdentification::check(directory, false, missing).mRefusal, KeyRefusal::Missing);
  directory->add(customer("a"), { "k" });
  const PresentedKey known{ KeyForm::WellFormed, "k" };
  const PresentedKey unknown{ KeyForm::WellFormed, "other" };
  for (const bool anonymous : { false, true }) {
    EXPECT_EQ(CallerIdentification::check(directory, anonymous, known).mCustomer,
              &directory->customers().front());
    EXPECT_EQ(CallerIdentification::check(directory, anonymous, unknown).mCustomer, nullptr);
  }
  EXPECT_EQ(CallerIdentification::check(directory, false, unknown).mRefusal, KeyRefusal::Unknown);
  EXPECT_FALSE(CallerIdentification::check(directory, true, unknown).mRefusal);
}

/// Guards against a customer's priority 0 that is taken for none.
TEST(CallerIdentificationTest, PriorityOfTheCustomerComesFirst)
{
  Customer urgent = customer("a");
  const auto priority = [](const Customer* aCustomer) {
    return CallerIdentification{ aCustomer, std::nullopt }.effectivePriority(2);
  };
  EXPECT_EQ(priority(nullptr), 2);
  EXPECT_EQ(priority(&urgent), 2);
  urgent.mPriority = 0;
  EXPECT_EQ(priority(&urgent), 0);
}

/// Guards against an empty intersection that allows all regions.
TEST(HomeRegionsTest, AnEmptyIntersectionAllowsNoRegion)
{
  const RegionName north{ "north" };
  const RegionName south{ "south" };
  HomeRegions regions{ std::vector<RegionName>{} };
  EXPECT_FALSE(regions.isRestricted());
  EXPECT_TRUE(regions.contains(north));
  regions.restrictTo({ north, south });
  regions.restrictTo({});
  EXPECT_TRUE(regions.contains(south));
  regions.restrictTo({ south });
  EXPECT_FALSE(regions.contains(north));
  EXPECT_EQ(regions.text(), "south");
  EXPECT_FALSE(regions.isNone());
  regions.restrictTo({ north });
  regions.restrictTo({});
  EXPECT_TRUE(regions.isNone());
  EXPECT_FALSE(regions.contains(north) || regions.contains(south));
}

} // namespace
} // namespace bulrushrun
