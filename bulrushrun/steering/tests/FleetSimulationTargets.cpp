#include "bulrushrun/steering/tests/FleetSimulation.h"

namespace bulrushrun::steering_test {

std::vector<ExchangeId> FleetSimulation::targetExchanges() const
{
  std::vector<ExchangeId> pending;
  for (const auto& [number, exchange] : mExchanges) {
    if (exchange.mTo.mPort == kTargetPort) {
      pending.emplace_back(number);
    }
  }
  return pending;
}

void FleetSimulation::respondTo(ExchangeId aExchange,
                                int aStatus,
                                Headers aHeaders,
                                const std::string& aBody)
{
  const PendingExchange& pending = exchange(aExchange);
  const std::string* id = findHeader(pending.mRequest.mHeaders, "X-Request-Id");
  aHeaders.push_back({ "X-Request-Id", id == nullptr ? "" : *id });
  finish(aExchange, { { aStatus, std::move(aHeaders), std::nullopt }, aBody });
  run(2 * kLinkLatency);
}

void FleetSimulation::writeResponse(ExchangeId aExchange,
                                    int aStatus,
                                    Headers aHeaders,
                                    const std::string& aBody)
{
  const ResponseHead head{ aStatus, std::move(aHeaders), std::nullopt };
  const ExchangeListener& listener = exchange(aExchange).mListener;
  if (!listener.mIsMatchingResponse || listener.mIsMatchingResponse(head)) {
    finish(aExchange, { head, aBody });
  }
  run(2 * kLinkLatency);
}

void FleetSimulation::respondOk(ExchangeId aExchange)
{
  respondTo(aExchange, 200, { { "X-Response-Signature", "sig" } }, "body");
}

void FleetSimulation::failExchange(ExchangeId aExchange, ExchangeResult aResult)
{
  const ExchangeListener listener = mExchanges.at(aExchange.value()).mListener;
  mExchanges.erase(aExchange.value());
  listener.mOnEnd(aResult, "interrupted by the test");
  run(2 * kLinkLatency);
}

} // namespace bulrushrun::steering_test
