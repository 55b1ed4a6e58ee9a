#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// \brief \returns an HMAC of the payload under the key, followed by the payload.
std::string signPayload(const std::string& aPayload, const std::string& aKey);

/// \brief \returns the payload, or nothing when it is not signed with one of the keys.
std::optional<std::string_view> verifyPayload(std::string_view aBytes,
                                              const std::vector<std::string>& aKeys);

} // namespace bulrushrun
