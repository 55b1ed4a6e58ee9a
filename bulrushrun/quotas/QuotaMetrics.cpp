#include "bulrushrun/quotas/QuotaMetrics.h"

namespace bulrushrun {

namespace {

void declare(std::string& aText, const std::string& aName, const char* aType, const char* aHelp)
{
  aText += "# HELP bulrushrun_" + aName + " " + aHelp + "\n# TYPE bulrushrun_" + aName + " " +
           aType + "\n";
}

void single(std::string& aText,
            const std::string& aName,
            const char* aType,
            const char* aHelp,
            std::uint64_t aValue)
{
  declare(aText, aName, aType, aHelp);
  aText += "bulrushrun_" + aName + " " + std::to_string(aValue) + "\n";
}

/// \returns the text as the value of a label: quotes, backslashes and line ends are escaped.
std::string labelValue(const std::string& aText)
{
  std::string value;
  for (const char c : aText) {
    if (c == '\\' || c == '"') {
      value += '\\';
    }
    value += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return value;
}

} // namespace

void renderQuotaMetrics(std::string& aText,
                        QuotaHolder& aHolder,
                        const QuotaCoordinator& aCoordinator,
                        const QuotaRefusals& aRefusals,
                        std::size_t aWaiting,
                        TimePoint aNow)
{
  const QuotaCounters& counters = aHolder.counters();
  const auto counter = [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
    single(aText, aName, "counter", aHelp, aValue);
  };
  const auto gauge = [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
    single(aText, aName, "gauge", aHelp, aValue);
  };
  counter("quota_tokens_granted_total", "Tokens received from coordinators.", counters.mGranted);
  counter("quota_tokens_used_total", "Tokens taken for requests.", counters.mTaken);
  counter("quota_tokens_own_total",
          "Tokens taken from the own accrual, without a coordinator.",
          counters.mOwn);
  counter("quota_tokens_returned_total",
          "Tokens given back by requests that were not executed.",
          counters.mGivenBack);
  counter("quota_tokens_lapsed_total", "Tokens that expired unused.", counters.mLapsed);
  counter("quota_reports_sent_total", "Reports to coordinators.", counters.mReportsSent);
  counter("quota_grants_received_total", "Grants of coordinators.", counters.mGrantsReceived);
  counter("quota_reports_received_total",
          "Reports received as coordinator.",
          aCoordinator.reportsReceived());
  gauge("quota_tokens_held", "Tokens held for coming requests.", aHolder.tokensHeld(aNow));
  gauge("quota_waiting_requests", "Requests that wait for tokens.", aWaiting);
  gauge("quota_scarce_customers",
        "Customers whose tokens were scarce at the last grant.",
        aHolder.scarceLimits());
  gauge("quota_scarce_pools", "Scarce pools, as coordinator.", aCoordinator.scarcePools());
  gauge("quota_without_coordinator",
        "1 while this instance spends its own accrual.",
        aHolder.isAlone() ? 1 : 0);
  declare(aText, "quota_refusals_total", "counter", "Requests beyond the quota, by customer.");
  for (const auto& [customer, count] : aRefusals.counts()) {
    aText += "bulrushrun_quota_refusals_total{customer=\"" + labelValue(customer) + "\"} " +
             std::to_string(count) + "\n";
  }
}

} // namespace bulrushrun
