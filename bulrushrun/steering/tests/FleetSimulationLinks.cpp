#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <algorithm>

namespace bulrushrun::steering_test {

TimePoint FleetSimulation::reserveLinks(const PendingExchange& aExchange, std::size_t aBytes)
{
  if (mLinkBytesPerSecond <= 0 || aExchange.mTo.mPort == kTargetPort) {
    return mNow;
  }
  TimePoint& incoming = mIncomingFreeAt[aExchange.mFrom.mAddress];
  TimePoint& outgoing = mOutgoingFreeAt[aExchange.mTo.mAddress];
  const bool isFromStore = aExchange.mTo == kStoreEndpoint;
  const TimePoint start = std::max({ mNow, incoming, isFromStore ? mNow : outgoing });
  const TimePoint end = start + fromSeconds(static_cast<double>(aBytes) / mLinkBytesPerSecond);
  incoming = outgoing = end;
  return end;
}

void FleetSimulation::transfer(ExchangeId aExchange,
                               const std::shared_ptr<const HttpResponse>& aResponse,
                               std::size_t aOffset)
{
  constexpr std::size_t kPartBytes = 16 * 1024;
  const auto found = mExchanges.find(aExchange.value());
  if (found == mExchanges.end()) {
    return;
  }
  const std::size_t bytes = std::min(aResponse->mBody.size() - aOffset, kPartBytes);
  if (bytes == 0) {
    complete(aExchange);
    return;
  }
  const auto deliverPart = [this, aExchange, aResponse, aOffset, bytes] {
    const auto exchange = mExchanges.find(aExchange.value());
    if (exchange == mExchanges.end()) {
      return;
    }
    const ExchangeListener listener = exchange->second.mListener;
    if (listener.mOnBody) {
      listener.mOnBody(std::string_view{ aResponse->mBody }.substr(aOffset, bytes));
    }
    transfer(aExchange, aResponse, aOffset + bytes);
  };
  const TimePoint end = reserveLinks(found->second, bytes);
  if (end == mNow) {
    deliverPart();
  } else {
    mTimers.add(end, deliverPart);
  }
}

void FleetSimulation::complete(ExchangeId aExchange)
{
  const auto found = mExchanges.find(aExchange.value());
  if (found == mExchanges.end()) {
    return;
  }
  const ExchangeListener listener = found->second.mListener;
  mExchanges.erase(found);
  listener.mOnEnd(ExchangeResult::Complete, "");
}

} // namespace bulrushrun::steering_test
