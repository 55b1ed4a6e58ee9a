#pragma once

#include "bulrushrun/host.h"

#include <functional>
#include <string>
#include <variant>

namespace bulrushrun::scenario {

/// \brief Head of an answer on its way.
struct HeadArrives
{
  ResponseHead mHead;
};

/// \brief Part of a body on its way.
struct BodyArrives
{
  std::string mBytes;
};

/// \brief End of an exchange on its way.
struct EndArrives
{
  ExchangeResult mEnd = ExchangeResult::Complete;
  std::string mReason;
};

/// \brief What an exchange can bring.
using ReplyEvent = std::variant<HeadArrives, BodyArrives, EndArrives>;

/// \brief Takes the events of one exchange where the request was sent from.
using ReplySink = std::function<void(const ReplyEvent&)>;

} // namespace bulrushrun::scenario
