#include "bulrushrun/quotas/QuotaMessage.h"

#include <gtest/gtest.h>

#include <limits>

namespace bulrushrun {
namespace {

/// Payload of an Ethernet frame without the headers of IP and UDP and the signed envelope.
constexpr std::size_t kMaxPayload = 1500 - 28 - 100;

QuotaReport largestReport()
{
  constexpr std::uint64_t kLarge = std::numeric_limits<std::uint64_t>::max();
  QuotaReport report{ QuotaSessionId{ kLarge },
                      1U << 31U,
                      Endpoint{ 0xffffffff, 65535 },
                      TimePoint{ std::chrono::hours(24 * 365) },
                      std::chrono::hours(24 * 365),
                      1400,
                      {} };
  for (std::size_t i = 0; i < kMaxDemandsPerReport; ++i) {
    report.mDemands.push_back({ LimitId{ kLarge - i }, 255, 65535, 255, 1U << 31U, 1U << 31U });
  }
  return report;
}

// Guards against fragments, which are lost more often than single frames.
TEST(QuotaMessage, FitsIntoOneFrame)
{
  EXPECT_LE(encodeQuotaReport(largestReport()).size(), kMaxPayload);
  QuotaGrant grant{ QuotaSessionId{ 1 }, 1U << 31U, TimePoint{ std::chrono::hours(9000) }, {} };
  for (std::size_t i = 0; i < kMaxDemandsPerReport; ++i) {
    grant.mGrants.push_back({ LimitId{ ~i }, 65535, 65535, true, std::chrono::milliseconds(2000) });
  }
  EXPECT_LE(encodeQuotaGrant(grant).size(), kMaxPayload);
}

// Guards against fields that are exchanged or lost on the way.
TEST(QuotaMessage, IsDecodedAsItWasEncoded)
{
  const QuotaReport report = largestReport();
  const std::optional<QuotaReport> decoded = decodeQuotaReport(encodeQuotaReport(report));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(encodeQuotaReport(*decoded), encodeQuotaReport(report));
  EXPECT_EQ(decoded->mDemands[1].mExpected, 65535U);
  EXPECT_EQ(decoded->mInstances, 1400U);
  EXPECT_FALSE(decodeQuotaGrant(encodeQuotaReport(report)));
}

// Guards against crashes and huge numbers from malformed messages.
TEST(QuotaMessage, IsRefusedWhenMalformed)
{
  const std::string bytes = encodeQuotaReport(largestReport());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(decodeQuotaReport(std::string_view(bytes).substr(0, length)));
  }
  QuotaReport report = largestReport();
  report.mInstances = 0;
  EXPECT_FALSE(decodeQuotaReport(encodeQuotaReport(report)));
  report = largestReport();
  report.mDemands[0].mWaiting = 1U << 30U;
  EXPECT_FALSE(decodeQuotaReport(encodeQuotaReport(report)));
}

// Guards against two customers that share one limit because their names have the same hash.
TEST(QuotaLimits, SeparatesNamesWithTheSameHash)
{
  const QuotaLimits limits({ { CustomerName{ "a" }, std::nullopt, { 1, 1 }, {} },
                             { CustomerName{ "b" }, std::nullopt, { 2, 2 }, {} },
                             { CustomerName{ "c" }, std::nullopt, { 0, 0 }, {} } },
                           [](std::string_view) { return ~std::uint64_t{ 0 }; });
  ASSERT_EQ(limits.size(), 2U);
  EXPECT_EQ(limits.find(*limits.idOf(CustomerName{ "a" }))->mRate, 1);
  EXPECT_EQ(limits.find(*limits.idOf(CustomerName{ "b" }))->mRate, 2);
  EXPECT_FALSE(limits.idOf(CustomerName{ "c" }));
}

} // namespace
} // namespace bulrushrun
