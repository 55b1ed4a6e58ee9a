#include "bulrushrun/health/HealthChecker.h"

#include <nlohmann/json.hpp>

namespace bulrushrun {

bool reportsLeaving(const HttpResponse& aResponse)
{
  if (aResponse.mHead.mStatus == 503) {
    return true;
  }
  const nlohmann::json page = nlohmann::json::parse(aResponse.mBody, nullptr, false);
  return page.is_object() && page.value("state", "") == "leaving";
}

} // namespace bulrushrun
