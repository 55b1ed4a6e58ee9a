#include "bulrushrun/configuration/Timestamp.h"

#include <array>
#include <ctime>

namespace bulrushrun {

namespace {

constexpr const char* kInstantFormat = "%Y-%m-%dT%H:%M:%SZ";

} // namespace

std::optional<UnixSeconds> parseTimestamp(const std::string& aText)
{
  std::tm parts{};
  const char* end = ::strptime(aText.c_str(), kInstantFormat, &parts);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return UnixSeconds{ ::timegm(&parts) };
}

std::string formatTimestamp(UnixSeconds aInstant)
{
  const std::time_t seconds = aInstant.count();
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t n = std::strftime(text.data(), text.size(), kInstantFormat, &parts);
  return { text.data(), n };
}

} // namespace bulrushrun
