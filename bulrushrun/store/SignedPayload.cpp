#include "bulrushrun/store/SignedPayload.h"

#include "bulrushrun/core/Hash.h"

#include <algorithm>

namespace bulrushrun {

namespace {

constexpr std::size_t kMacBytes = 32;

} // namespace

std::string signPayload(const std::string& aPayload, const std::string& aKey)
{
  return hmacSha256(aKey, aPayload) + aPayload;
}

std::optional<std::string_view> verifyPayload(std::string_view aBytes,
                                              const std::vector<std::string>& aKeys)
{
  if (aBytes.size() <= kMacBytes) {
    return std::nullopt;
  }
  const std::string_view mac = aBytes.substr(0, kMacBytes);
  const std::string_view payload = aBytes.substr(kMacBytes);
  const bool isAuthentic = std::any_of(aKeys.begin(), aKeys.end(), [&](const std::string& aKey) {
    return constantTimeEquals(hmacSha256(aKey, payload), mac);
  });
  return isAuthentic ? std::optional{ payload } : std::nullopt;
}

} // namespace bulrushrun
