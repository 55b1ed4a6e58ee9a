#pragma once

#include "bulrushrun/steering/RequestProxy.h"

/// \file
/// \brief RequestProxy: to which request a response belongs, and what it may be trusted for.

namespace bulrushrun {

template<class HostType, class Codec>
ExchangeListener RequestProxy<HostType, Codec>::listener(RequestId aId, AttemptId aAttempt)
{
  ExchangeListener listener;
  listener.mBodyMayEndAtClose = true;
  listener.mBeforeSend = [this, aId, aAttempt] { return mayStillSend(aId, aAttempt); };
  listener.mIsMatchingResponse = [this, aId, aAttempt](const ResponseHead& aHead) {
    const Request* request = findAttempt(aId, aAttempt);
    return request == nullptr || isMatching(*request, aHead);
  };
  listener.mOnHead = [this, aId, aAttempt](const ResponseHead& aHead) {
    onHead(aId, aAttempt, aHead);
  };
  listener.mOnBody = [this, aId, aAttempt](std::string_view aBytes) {
    return onBody(aId, aAttempt, aBytes);
  };
  listener.mOnEnd = [this, aId, aAttempt](ExchangeResult aExchangeResult,
                                          const std::string& aReason) {
    onEnd(aId, aAttempt, aExchangeResult, aReason);
  };
  return listener;
}

/// \returns true when the response is taken as the one to this request, false when it is skipped.
/// A response without an id may be an earlier one that the target wrote again. A request that may
/// be retried takes it, because a retry elsewhere is sooner than the next response.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::isMatching(const Request& aRequest, const ResponseHead& aHead)
{
  const ResponseMetadata metadata = Codec::parseResponseMetadata(aHead);
  const std::string& id = aRequest.mMetadata.mId;
  const bool matches =
    metadata.mRequestId ? *metadata.mRequestId == id : aRequest.mRoute->mIdempotent || id.empty();
  if (!matches) {
    mHost.log(events::kAnswerCrossed,
              "id=" + id + " target=" + aRequest.mAttempt->mTarget.text() + " response_id=" +
                metadata.mRequestId.value_or("-") + " status=" + std::to_string(aHead.mStatus));
  }
  return matches;
}

/// \returns true when the target provably declined this request: a response without an id may
/// belong to an earlier one.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::isDeclined(const Request& aRequest) const
{
  const ResponseMetadata& metadata = aRequest.mAttempt->mMetadata;
  return metadata.mDeclined && metadata.mRequestId && !aRequest.mMetadata.mId.empty() &&
         !isSuccess(aRequest.mAttempt->mHead->mStatus);
}

/// A response must not reach the caller when its origin or body is in doubt, or when its status
/// tells the caller that a request that may run only once has not run.
template<class HostType, class Codec>
bool RequestProxy<HostType, Codec>::isAuthentic(const Request& aRequest) const
{
  const ResponseMetadata& metadata = aRequest.mAttempt->mMetadata;
  if (isSuccess(aRequest.mAttempt->mHead->mStatus)) {
    return metadata.mSigned && metadata.mRequestId && !metadata.mEncoded && !metadata.mDeclined;
  }
  const bool identified = metadata.mRequestId || aRequest.mMetadata.mId.empty();
  return identified && (aRequest.mRoute->mIdempotent || !metadata.mPromisesNotRun);
}

} // namespace bulrushrun
