#pragma once

#include "bulrushrun/routing/FleetView.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bulrushrun {

/// \brief Precomputed lookup responses by path: `/v1/lookup/TENANT/SERVICE/ZONE`.
///
/// Rebuilt from each new view of the fleet; a lookup takes one hash and one comparison, O(1).
class LookupTable
{
public:
  LookupTable() = default;
  /// \brief Computes all responses. O(services x zones).
  explicit LookupTable(const FleetView& aView);

  /// \brief \returns the JSON response for a path, or nullptr.
  const std::string* find(std::string_view aPath) const
  {
    const auto found = mResponses.find(aPath);
    return found == mResponses.end() ? nullptr : &found->second;
  }

  std::size_t size() const { return mResponses.size(); }

private:
  /// Transparent hash, so that a lookup allocates no string.
  struct PathHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aPath) const
    {
      return std::hash<std::string_view>{}(aPath);
    }
  };

  std::unordered_map<std::string, std::string, PathHash, std::equal_to<>> mResponses;
};

/// \brief Path prefix of all lookups.
inline constexpr std::string_view kLookupPrefix = "/v1/lookup/";

/// \brief \returns an error message that names the unknown part of a lookup path.
std::string lookupErrorMessage(const Document& aDocument, std::string_view aPath);

} // namespace bulrushrun
