#include "soak/InvariantChecker.h"

#include <algorithm>

/// \file
/// \brief InvariantChecker: keys of callers.

namespace bulrushrun::soak {

std::optional<TimePoint> InvariantChecker::acknowledgedAt(std::uint64_t aVersion) const
{
  const auto found = mVersions.find(aVersion);
  return found == mVersions.end() ? std::nullopt : std::optional<TimePoint>{ found->second };
}

/// \returns true when the instance must have known a version when the request was sent.
bool InvariantChecker::isInForce(std::uint64_t aVersion, const Attempt& aAttempt) const
{
  const std::optional<TimePoint> acknowledged = acknowledgedAt(aVersion);
  return acknowledged && aAttempt.mSent > *acknowledged + mBounds.mConfiguration + mBounds.mSlack &&
         isConnectedAndStable(aAttempt.mInstance, aAttempt.mSent) &&
         mInstances[aAttempt.mInstance].wasStableFor(mBounds.mConfiguration, aAttempt.mSent) &&
         mRestarts[aAttempt.mInstance].wasStableFor(mBounds.mConfiguration, aAttempt.mSent);
}

void InvariantChecker::onHeaders(const HttpRequest& aRequest,
                                 const standins::RegisteredTarget& aTarget)
{
  const std::string* id = findHeader(aRequest.mHeaders, "X-Request-Id");
  const Attempt* attempt = id == nullptr ? nullptr : find(*id);
  if (attempt == nullptr) {
    return;
  }
  const CallerKey& key = attempt->mKey;
  const std::string details = *id + " target=" + aTarget.setup().mId;
  if (findHeader(aRequest.mHeaders, "Authorization") != nullptr) {
    report("a key reached a target: " + details);
  }
  const auto names =
    std::count_if(aRequest.mHeaders.begin(), aRequest.mHeaders.end(), [](const Header& aHeader) {
      return equalHeaderNames(aHeader.mName, "X-Tenant-Id");
    });
  if (names != 1 || *findHeader(aRequest.mHeaders, "X-Tenant-Id") != key.mCustomer) {
    report("a target was not told the customer, or another one: " + details);
  }
  if (key.mText.empty() || key.mAddedBy == 0U) {
    report("request without a known key reached a target: " + details);
  }
  if (key.mAddedBy && isInForce(*key.mAddedBy + CallerKey::kLifetime, *attempt)) {
    report("request with a removed key reached a target: " + details);
  }
  if (key.mCustomer == CallerKey::kHomeCustomer && aTarget.setup().mZone != CallerKey::kHomeZone) {
    report("request outside the home region of its customer: " + details);
  }
}

void InvariantChecker::checkKeyResponse(const std::string& aId, const Attempt& aAttempt)
{
  constexpr int kUnauthorized = 401;
  if (aAttempt.mHead.mStatus != kUnauthorized) {
    return;
  }
  const CallerKey& key = aAttempt.mKey;
  const std::string details = aId + " instance=" + std::to_string(aAttempt.mInstance);
  if (aAttempt.mExecutions > 0) {
    report("refused because of its key, but it was executed: " + details);
  }
  if (key.isPermanent()) {
    report("request with a permanent key was refused because of it: " + details);
  }
  if (key.mAddedBy && *key.mAddedBy > 0 && isInForce(*key.mAddedBy, aAttempt) &&
      !acknowledgedAt(*key.mAddedBy + CallerKey::kLifetime)) {
    report("request with an added key was refused because of it: " + details);
  }
}

} // namespace bulrushrun::soak
