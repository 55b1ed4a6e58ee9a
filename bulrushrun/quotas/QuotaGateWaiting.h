#pragma once

#include "bulrushrun/quotas/QuotaGate.h"

/// \file
/// \brief QuotaGate: requests that wait for tokens.

namespace bulrushrun {

template<class HostType>
void QuotaGate<HostType>::decide(const WaitingRequest& aRequest, const QuotaAnswer& aAnswer)
{
  if (mWaiting.remove(aRequest.mId)) {
    if (mExchange) {
      mExchange->holder().addWaiting(aRequest.mLimit, -1);
    }
    mOnDecision(aRequest.mId, aAnswer);
  }
}

/// Gives the tokens of a limit to the requests that wait for them.
template<class HostType>
void QuotaGate<HostType>::serve(LimitId aLimit)
{
  while (const std::optional<WaitingRequest> request = mWaiting.first(aLimit)) {
    if (!mExchange || !mExchange->holder().take(aLimit, mHost.now())) {
      return;
    }
    decide(*request, {});
  }
}

/// Serves requests from the own accrual and from tokens that were given back, which come without
/// grants, and refuses those that have waited for too long.
template<class HostType>
void QuotaGate<HostType>::check()
{
  mCheckScheduled = false;
  if (!mExchange) {
    return;
  }
  const TimePoint now = mHost.now();
  const std::vector<WaitingRequest> held = mWaiting.all();
  for (const WaitingRequest& request : held) {
    serve(request.mLimit);
  }
  for (const WaitingRequest& request : mWaiting.expired(now)) {
    if (mExchange && mLimits->find(request.mLimit) != nullptr) {
      decide(request, refuse(request.mLimit, now));
    }
  }
  if (!mWaiting.empty() && !std::exchange(mCheckScheduled, true)) {
    mHost.after(kCheckPeriod, [this] { check(); });
  }
}

} // namespace bulrushrun
