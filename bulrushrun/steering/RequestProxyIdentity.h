#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: which customer sent a request, and what the configuration in force grants
/// it.

namespace bulrushrun {

/// Checks the key that a request presents against the configuration in force.
template<class HostType, class Codec>
CallerIdentification RequestProxy<HostType, Codec>::identify(const HttpRequest& aRequest,
                                                             const Route& aRoute) const
{
  return CallerIdentification::check(mSteeringState.mPlan->mCustomers,
                                     aRoute.mAnonymous,
                                     Codec::parsePresentedKey(aRequest.mHeaders));
}

/// Counts the request of a customer, or refuses an unusable key. \returns true when the request may
/// be served
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::admitKey(const CallerIdentification& aCaller,
                                             ResponderType& aResponder,
                                             const Route& aRoute,
                                             const RequestMetadata& aMetadata)
{
  if (aCaller.mCustomer != nullptr) {
    mCustomerMetrics.onRequest(aCaller.mCustomer->mName);
  }
  if (!aCaller.mRefusal) {
    return true;
  }
  mCustomerMetrics.onKeyRefusal(*aCaller.mRefusal);
  refuseBeforeAdmission(aResponder,
                        kUnauthorized,
                        keyRefusalText(*aCaller.mRefusal),
                        Codec::keyChallengeHeaders(),
                        "id=" + aMetadata.mId + " route=" + aRoute.mName + " version=" +
                          std::to_string(mSteeringState.mPlan->mVersion.value()) + " ");
  return false;
}

template<class HostType, class Codec>
std::string RequestProxy<HostType, Codec>::keyRefusalText(KeyRefusal aRefusal)
{
  return std::string{ "the key is " } + describe(aRefusal);
}

/// Takes over what the configuration in force grants the customer on a route. The customer's
/// priority takes precedence over the route's, and home regions of both apply together.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::setIdentity(Request& aRequest,
                                                const CallerIdentification& aCaller,
                                                const Route& aRoute) const
{
  aRequest.mIdentityPlan = mSteeringState.mPlan;
  aRequest.mCustomer = aCaller.mCustomer;
  aRequest.mPriority = aCaller.effectivePriority(aRoute.mPriority);
  aRequest.mHomeRegions = HomeRegions{ aRoute.mHomeRegions };
  if (aCaller.mCustomer != nullptr) {
    aRequest.mHomeRegions.restrictTo(aCaller.mCustomer->mHomeRegions);
  }
}

/// \returns the route of the configuration in force; that of the request if it has none.
template<class HostType, class Codec>
const Route& RequestProxy<HostType, Codec>::routeInForce(const Request& aRequest) const
{
  const Route* inForce = aRequest.mPlan == mSteeringState.mPlan
                           ? nullptr
                           : matchRoute(*mSteeringState.mPlan, aRequest.mRequest);
  return inForce == nullptr ? *aRequest.mRoute : *inForce;
}

/// Checks the key again if the configuration has changed since. The customer is then the one that
/// holds the key now, and the home regions are those in force.
/// \returns false when no further attempt may be made
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::refreshIdentity(Request& aRequest)
{
  if (aRequest.mKeyRefusal || aRequest.mIdentityPlan == mSteeringState.mPlan) {
    return !aRequest.mKeyRefusal;
  }
  const Route& route = routeInForce(aRequest);
  const CallerIdentification caller = identify(aRequest.mRequest, route);
  if (!caller.mRefusal) {
    setIdentity(aRequest, caller, route);
    return true;
  }
  // The customer that sent the request stays known, for the log and the metrics.
  aRequest.mKeyRefusal = caller.mRefusal;
  aRequest.mReason += (aRequest.mReason.empty() ? "" : "; ") + keyRefusalText(*caller.mRefusal) +
                      " since the configuration changed";
  return false;
}

/// The key was removed before a target was reached.
template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::respondKeyRefused(Request& aRequest)
{
  mCustomerMetrics.onKeyRefusal(*aRequest.mKeyRefusal);
  sendLocalResponse(
    aRequest, kUnauthorized, Codec::keyChallengeHeaders(), "not run: " + aRequest.mReason);
  finish(aRequest, "refused", kUnauthorized);
}

/// \returns the customer, the home regions and the zone of the last target, for the log; without
/// home regions or a customer, no such fields.
template<class HostType, class Codec>
std::string RequestProxy<HostType, Codec>::identityText(const Request& aRequest)
{
  std::string text;
  if (aRequest.mCustomer != nullptr) {
    text += " customer=" + logText(aRequest.mCustomer->mName);
  }
  const HomeRegions& regions =
    aRequest.mAttempt ? aRequest.mAttempt->mHomeRegions : aRequest.mHomeRegions;
  if (regions.isRestricted()) {
    text += " home_regions=" + regions.text() +
            " target_zone=" + (aRequest.mAttempt ? aRequest.mAttempt->mZone.text() : "-");
  }
  return text;
}

template<class HostType, class Codec>
void RequestProxy<HostType, Codec>::updateCustomerMetrics()
{
  const std::shared_ptr<const RoutePlan>& plan = mSteeringState.mPlan;
  if (plan == nullptr || !plan->mCustomers) {
    return;
  }
  if (mMetricsVersion != plan->mVersion) {
    mMetricsVersion = plan->mVersion;
    mCustomerMetrics.setCustomers(*plan->mCustomers);
  }
  const TimePoint now = mHost.now();
  if (now - mCustomersRankedAt >= kRankingPeriod) {
    mCustomersRankedAt = now;
    mCustomerMetrics.updateRanking();
  }
}

} // namespace bulrushrun
