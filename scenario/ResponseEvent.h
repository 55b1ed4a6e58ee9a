#pragma once

#include "bulrushrun/host.h"

#include <functional>
#include <string>
#include <variant>

namespace bulrushrun::scenario {

/// \brief The head of a response.
struct HeadReceived
{
  ResponseHead mHead;
};

/// \brief Part of a response body.
struct BodyReceived
{
  std::string mBytes;
};

/// \brief The end of an exchange.
struct ExchangeEnded
{
  ExchangeResult mResult = ExchangeResult::Complete;
  std::string mReason;
};

/// \brief An event of an exchange, as the requester sees it.
using ResponseEvent = std::variant<HeadReceived, BodyReceived, ExchangeEnded>;

/// \brief Receives the events of one exchange on the side of the requester.
using ResponseSink = std::function<void(const ResponseEvent&)>;

} // namespace bulrushrun::scenario
