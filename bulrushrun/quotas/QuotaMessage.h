#pragma once

#include "bulrushrun/quotas/QuotaLimits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief Identifies the time during which an instance deposits with one coordinator.
using QuotaSessionId = StrongNumber<struct QuotaSessionTag>;

/// \brief Demand of one instance for tokens of one limit.
struct QuotaDemand
{
  LimitId mLimit;
  /// Tokens for requests that wait for them.
  std::uint32_t mWaiting = 0;
  /// Tokens for requests that are expected before the next grant.
  std::uint32_t mExpected = 0;
  /// Tokens for requests that may come, granted only when the pool is not scarce.
  std::uint32_t mSpare = 0;
  /// Of the tokens to be accounted for: those spent and those that expired, since the session
  /// began.
  std::uint64_t mSpent = 0;
  std::uint64_t mLapsed = 0;
};

/// \brief Report of an instance to the coordinator of quotas.
struct QuotaReport
{
  QuotaSessionId mSession;
  std::uint64_t mSequenceNumber = 0;
  /// Where to send the grant.
  Endpoint mSender;
  /// Time of the sender's clock, returned in the grant.
  TimePoint mSentAt;
  /// Time accrued since the session began.
  Duration mAccrued{ 0 };
  /// Instances among which the sender divides the limits.
  std::uint32_t mInstances = 1;
  std::vector<QuotaDemand> mDemands;
};

/// \brief Tokens of one limit for one instance.
struct TokenGrant
{
  LimitId mLimit;
  /// Tokens for waiting requests, valid for a short time only.
  std::uint32_t mDirect = 0;
  /// Tokens to be accounted for in later reports.
  std::uint32_t mHeld = 0;
  /// The pool is below half of its capacity.
  bool mScarce = false;
  /// Time until a token is expected, if the demand was not met.
  Duration mNextTokenIn{ 0 };
};

/// \brief Response of the coordinator to a report.
struct QuotaGrant
{
  QuotaSessionId mSession;
  std::uint64_t mSequenceNumber = 0;
  TimePoint mReportSentAt;
  std::vector<TokenGrant> mGrants;
};

/// Demands per report, so that a report fits into one Ethernet frame.
inline constexpr std::size_t kMaxDemandsPerReport = 48;

/// \brief \returns the message encoded as MessagePack.
std::string encodeQuotaReport(const QuotaReport& aReport);
std::string encodeQuotaGrant(const QuotaGrant& aGrant);

/// \brief \returns the message, or nothing when the bytes are no such message or malformed.
std::optional<QuotaReport> decodeQuotaReport(std::string_view aBytes);
std::optional<QuotaGrant> decodeQuotaGrant(std::string_view aBytes);

} // namespace bulrushrun
