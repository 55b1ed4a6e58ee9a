#pragma once

#include "bulrushrun/core.h"

#include <algorithm>
#include <cstddef>

namespace bulrushrun {

/// \brief Times of the exchange between the instances and the coordinator of quotas.
struct QuotaTiming
{
  /// Periodic reports per second that the coordinator gets from all instances; up to 75 instances
  /// report four times a second. Urgent reports come on top.
  static constexpr double kReportsPerSecond = 300;
  static constexpr Duration kMinReportPeriod = std::chrono::milliseconds(250);
  static constexpr Duration kMaxReportPeriod = std::chrono::seconds(2);
  /// An instance without demand reports less often, but deposits no more than this part of a second
  /// of the fleet's accrual at once.
  static constexpr double kMaxIdleDeposit = 0.03;
  static constexpr Duration kMaxIdlePeriod = std::chrono::seconds(1);
  /// Reports because a request found no token are at least this far apart.
  static constexpr Duration kMinReportGap = std::chrono::milliseconds(20);
  static constexpr Duration kMinLifetime = std::chrono::seconds(1);
  static constexpr Duration kMaxLifetime = std::chrono::seconds(3);
  /// Time after the longest lifetime within which the coordinator learns what became of a token;
  /// afterwards the token is lost.
  static constexpr Duration kSettleTime = std::chrono::seconds(1);
  /// Validity of tokens for waiting requests, from the report that asked for them; as long as a
  /// request may wait. The coordinator does not account for them, so the tokens created before a
  /// window and used in it are at most those of this time.
  static constexpr Duration kDirectLifetime = std::chrono::milliseconds(300);
  /// Validity of tokens given back by requests that were not executed, and of own tokens where the
  /// own part of the burst is less than one.
  static constexpr Duration kReuseTime = std::chrono::milliseconds(200);

  /// \brief \returns the interval between reports of an instance with demand.
  static Duration reportPeriod(std::size_t aInstances)
  {
    return std::clamp(fromSeconds(static_cast<double>(aInstances) / kReportsPerSecond),
                      kMinReportPeriod,
                      kMaxReportPeriod);
  }
  /// \brief \returns the interval between reports of an instance without demand.
  static Duration idlePeriod(std::size_t aInstances)
  {
    const Duration period = reportPeriod(aInstances);
    return std::max(
      period,
      std::min(fromSeconds(kMaxIdleDeposit * static_cast<double>(aInstances)), kMaxIdlePeriod));
  }
  /// \brief \returns how long a token may be used after the report that asked for it was sent.
  static Duration lifetime(std::size_t aInstances)
  {
    return std::clamp(reportPeriod(aInstances) * 3 / 2, kMinLifetime, kMaxLifetime);
  }
  /// \brief \returns the time without a grant after which an instance spends its own accrual, and
  /// the time without a report after which the coordinator no longer counts an instance.
  static Duration silence(std::size_t aInstances)
  {
    return std::max(fromSeconds(1), idlePeriod(aInstances) * 2);
  }
};

} // namespace bulrushrun
