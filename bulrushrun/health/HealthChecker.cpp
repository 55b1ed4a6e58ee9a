#include "bulrushrun/health/HealthChecker.h"

#include <nlohmann/json.hpp>

namespace bulrushrun {

bool reportsLeaving(const HttpResponse& aResponse)
{
  if (aResponse.mHead.mStatus == 503) {
    return true;
  }
  const nlohmann::json body = nlohmann::json::parse(aResponse.mBody, nullptr, false);
  return body.is_object() && body.value("state", "") == "leaving";
}

} // namespace bulrushrun
