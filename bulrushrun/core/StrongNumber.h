#pragma once

#include <compare>
#include <cstdint>

namespace bulrushrun {

/// \brief Strong typedef of an unsigned integer; numbers of different kinds are distinct types.
///
/// \code
/// ConfigurationVersion next{current.value() + 1};
/// \endcode
template<class Tag>
class StrongNumber
{
public:
  constexpr StrongNumber() = default;
  explicit constexpr StrongNumber(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::uint64_t value() const { return mValue; }
  /// \brief \returns this number plus one.
  constexpr StrongNumber next() const { return StrongNumber{ mValue + 1 }; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

private:
  std::uint64_t mValue = 0;
};

using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
using RecordVersion = StrongNumber<struct RecordVersionTag>;
using ExchangeId = StrongNumber<struct ExchangeIdTag>;
using RequestId = StrongNumber<struct RequestIdTag>;
/// \brief Attempt of a request, counted from 1.
using AttemptId = StrongNumber<struct AttemptIdTag>;
using TimerId = StrongNumber<struct TimerIdTag>;
using Incarnation = StrongNumber<struct IncarnationTag>;

} // namespace bulrushrun
