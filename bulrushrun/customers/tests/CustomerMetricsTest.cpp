#include "bulrushrun/customers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun {
namespace {

class CustomerMetricsTest : public ::testing::Test
{
protected:
  static CustomerName name(int aNumber) { return CustomerName{ "c" + std::to_string(aNumber) }; }
  static CustomerDirectory directory(int aCustomers)
  {
    CustomerDirectory customers;
    for (int i = 0; i < aCustomers; ++i) {
      Customer customer;
      customer.mName = name(i);
      customers.add(customer, {});
    }
    return customers;
  }
  void request(int aCustomer, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mMetrics.onRequest(name(aCustomer));
    }
  }
  bool hasLine(const std::string& aLine) const { return text().find(aLine + "\n") != npos; }
  std::string text() const
  {
    std::string text;
    mMetrics.render(text);
    return text;
  }

  static constexpr std::size_t npos = std::string::npos;
  CustomerMetrics mMetrics;
};

/// Guards against new series in deployments without customers.
TEST_F(CustomerMetricsTest, WithoutCustomersThereAreNone)
{
  EXPECT_EQ(text(), "");
}

/// Guards against a number of series that grows with the customers, and against counters that fall
/// when the customers with the most requests change.
TEST_F(CustomerMetricsTest, OnlyTheLargestCustomersHaveSeries)
{
  mMetrics.setCustomers(directory(1000));
  for (int i = 0; i < 1000; ++i) {
    request(i, 1);
  }
  request(999, 50);
  mMetrics.onRefusal(name(999));
  EXPECT_TRUE(hasLine("bulrushrun_customer_requests_total{other=\"true\"} 1018"));
  mMetrics.updateRanking();
  request(999, 5);
  mMetrics.onRefusal(name(999));
  EXPECT_TRUE(hasLine("bulrushrun_customer_requests_total{customer=\"c999\"} 5"));
  EXPECT_TRUE(hasLine("bulrushrun_customer_refusals_total{customer=\"c999\"} 1"));
  EXPECT_TRUE(hasLine("bulrushrun_customer_refusals_total{other=\"true\"} 1"));
  EXPECT_TRUE(hasLine("bulrushrun_customer_requests_total{other=\"true\"} 1019"))
    << "the customer that lost its series leaves its request to the others";
  const std::string lines = text();
  // Two metrics with 33 series each, and the reasons of key refusals.
  EXPECT_LE(std::count(lines.begin(), lines.end(), '\n'), 2 * 35 + 6);
}

/// Guards against series of customers that left the configuration, which would keep others out.
TEST_F(CustomerMetricsTest, CustomersThatLeftHaveNoSeries)
{
  mMetrics.setCustomers(directory(2));
  request(1, 7);
  mMetrics.setCustomers(directory(1));
  EXPECT_EQ(text().find("c1"), npos);
  EXPECT_TRUE(hasLine("bulrushrun_customer_requests_total{other=\"true\"} 7"));
}

/// Guards against a customer's name that breaks the text format.
TEST_F(CustomerMetricsTest, NamesAreEscaped)
{
  mMetrics.setCustomers(CustomerDirectory{});
  mMetrics.onRequest(CustomerName{ R"(a"b\c)" });
  mMetrics.onKeyRefusal(KeyRefusal::Unknown);
  EXPECT_TRUE(hasLine(R"(bulrushrun_customer_requests_total{customer="a\"b\\c"} 1)"));
  EXPECT_TRUE(hasLine(R"(bulrushrun_key_refusals_total{reason="unknown"} 1)"));
}

} // namespace
} // namespace bulrushrun
