#include "bulrushrun/quotas/QuotaMessage.h"

#include "bulrushrun/core/MessagePack.h"

#include <limits>
#include <tuple>

namespace bulrushrun {

namespace {

/// Limit, waiting, expected, spare, spent, lapsed.
using WireDemand = std::
  tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::uint32_t, std::uint64_t, std::uint64_t>;
/// Limit, direct, held, scarce, microseconds until the next token.
using WireGrant = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, bool, std::uint32_t>;
/// Messages start with a text, so that they are never taken for a gossip message, which starts with
/// a number. Then: session, sequence number, address, port, sent at, accrued, instances, demands.
using WireReport = std::tuple<std::string,
                              std::uint64_t,
                              std::uint64_t,
                              std::uint32_t,
                              std::uint16_t,
                              std::int64_t,
                              std::uint64_t,
                              std::uint32_t,
                              std::vector<WireDemand>>;
using WireGrants =
  std::tuple<std::string, std::uint64_t, std::uint64_t, std::int64_t, std::vector<WireGrant>>;

constexpr const char* kReportKind = "quota";
constexpr const char* kGrantKind = "grant";
constexpr std::int64_t kMaxMicros = std::numeric_limits<std::int64_t>::max() / 4;
constexpr std::uint32_t kMaxTokens = 1U << 24U;

} // namespace

std::string encodeQuotaReport(const QuotaReport& aReport)
{
  std::vector<WireDemand> demands;
  demands.reserve(aReport.mDemands.size());
  for (const QuotaDemand& demand : aReport.mDemands) {
    demands.emplace_back(demand.mLimit.value(),
                         demand.mWaiting,
                         demand.mExpected,
                         demand.mSpare,
                         demand.mSpent,
                         demand.mLapsed);
  }
  return packMessage(WireReport{ kReportKind,
                                 aReport.mSession.value(),
                                 aReport.mSequenceNumber,
                                 aReport.mSender.mAddress,
                                 aReport.mSender.mPort,
                                 aReport.mSentAt.time_since_epoch().count(),
                                 static_cast<std::uint64_t>(aReport.mAccrued.count()),
                                 aReport.mInstances,
                                 std::move(demands) });
}

std::optional<QuotaReport> decodeQuotaReport(std::string_view aBytes)
{
  const std::optional<WireReport> wire = unpackMessage<WireReport>(aBytes);
  if (!wire || std::get<0>(*wire) != kReportKind) {
    return std::nullopt;
  }
  const auto& [kind, session, number, address, port, sentAt, accrued, instances, demands] = *wire;
  if (accrued > static_cast<std::uint64_t>(kMaxMicros) || instances == 0 ||
      demands.size() > kMaxDemandsPerReport) {
    return std::nullopt;
  }
  QuotaReport report{ QuotaSessionId{ session },
                      number,
                      Endpoint{ address, port },
                      TimePoint{ Duration{ sentAt } },
                      Duration{ static_cast<std::int64_t>(accrued) },
                      instances,
                      {} };
  report.mDemands.reserve(demands.size());
  for (const auto& [limit, waiting, expected, spare, spent, lapsed] : demands) {
    if (waiting > kMaxTokens || expected > kMaxTokens || spare > kMaxTokens) {
      return std::nullopt;
    }
    report.mDemands.push_back({ LimitId{ limit }, waiting, expected, spare, spent, lapsed });
  }
  return report;
}

std::string encodeQuotaGrant(const QuotaGrant& aGrant)
{
  std::vector<WireGrant> grants;
  grants.reserve(aGrant.mGrants.size());
  for (const TokenGrant& grant : aGrant.mGrants) {
    grants.emplace_back(grant.mLimit.value(),
                        grant.mDirect,
                        grant.mHeld,
                        grant.mScarce,
                        static_cast<std::uint32_t>(grant.mNextTokenIn.count()));
  }
  return packMessage(WireGrants{ kGrantKind,
                                 aGrant.mSession.value(),
                                 aGrant.mSequenceNumber,
                                 aGrant.mReportSentAt.time_since_epoch().count(),
                                 std::move(grants) });
}

std::optional<QuotaGrant> decodeQuotaGrant(std::string_view aBytes)
{
  const std::optional<WireGrants> wire = unpackMessage<WireGrants>(aBytes);
  if (!wire || std::get<0>(*wire) != kGrantKind) {
    return std::nullopt;
  }
  const auto& [kind, session, number, sentAt, grants] = *wire;
  QuotaGrant grant{ QuotaSessionId{ session }, number, TimePoint{ Duration{ sentAt } }, {} };
  grant.mGrants.reserve(grants.size());
  for (const auto& [limit, direct, held, scarce, nextToken] : grants) {
    if (direct > kMaxTokens || held > kMaxTokens) {
      return std::nullopt;
    }
    grant.mGrants.push_back({ LimitId{ limit }, direct, held, scarce, Duration{ nextToken } });
  }
  return grant;
}

} // namespace bulrushrun
