#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushrun::soak {

/// \brief Key that a simulated caller presents, and the customer that it belongs to.
///
/// Each customer has a permanent key. One customer also has keys of limited lifetime: each version
/// of the configuration adds one and removes the one that was added kLifetime versions before.
struct CallerKey
{
  static constexpr std::uint64_t kLifetime = 3;
  /// Customer whose home is region `q`, that is zone `zc`.
  static constexpr const char* kHomeCustomer = "c7";
  static constexpr const char* kHomeZone = "zc";

  std::string mCustomer;
  /// Empty when the request carries no key.
  std::string mText;
  /// Version that added a key of limited lifetime; 0 for one that no version has.
  std::optional<std::uint64_t> mAddedBy;

  bool isPermanent() const { return !mText.empty() && !mAddedBy; }

  /// \brief \returns the permanent key of the first customer.
  static CallerKey permanent();
  /// \brief \returns the key of a request. It depends on the request's id only, so that it takes
  /// nothing from the random numbers of a seed's faults.
  static CallerKey choose(const std::string& aRequestId, std::uint64_t aNewestVersion);
  /// \brief \returns the customers of a configuration version, as JSON.
  static std::string customers(std::uint64_t aVersion);
};

} // namespace bulrushrun::soak
