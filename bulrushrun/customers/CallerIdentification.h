#pragma once

#include "bulrushrun/customers/CustomerDirectory.h"
#include "bulrushrun/customers/PresentedKey.h"

#include <array>
#include <cstddef>
#include <optional>

namespace bulrushrun {

/// \brief Why a key is refused.
enum class KeyRefusal
{
  Missing,
  Malformed,
  Repeated,
  /// No customer holds the key.
  Unknown,
};

inline constexpr std::array kAllKeyRefusals{ KeyRefusal::Missing,
                                             KeyRefusal::Malformed,
                                             KeyRefusal::Repeated,
                                             KeyRefusal::Unknown };

/// \brief \returns a word for logs, metrics and responses; never a part of a key.
constexpr const char* describe(KeyRefusal aRefusal)
{
  switch (aRefusal) {
    case KeyRefusal::Missing:
      return "missing";
    case KeyRefusal::Malformed:
      return "malformed";
    case KeyRefusal::Repeated:
      return "repeated";
    case KeyRefusal::Unknown:
      break;
  }
  return "unknown";
}

/// \brief Result of the check of a request's key.
struct CallerIdentification
{
  /// The customer that holds the key; nullptr if none does or the configuration has no customers.
  const Customer* mCustomer = nullptr;
  /// Why the request may not be served; empty when it may.
  std::optional<KeyRefusal> mRefusal;

  /// \brief Checks the key of a request. O(1)
  /// \param aDirectory  customers of the configuration; keys are not checked without it
  /// \param aAnonymous  the route needs no key; a known one still identifies the customer
  static CallerIdentification check(const std::optional<CustomerDirectory>& aDirectory,
                                    bool aAnonymous,
                                    const PresentedKey& aKey);
  /// \brief \returns the customer's priority, or else the route's.
  int effectivePriority(int aRoutePriority) const
  {
    return mCustomer == nullptr ? aRoutePriority : mCustomer->mPriority.value_or(aRoutePriority);
  }
};

} // namespace bulrushrun
