#include "bulrushrun/configuration/Timestamp.h"

#include <array>
#include <ctime>

namespace bulrushrun {

namespace {

constexpr const char* kTimestampFormat = "%Y-%m-%dT%H:%M:%SZ";

} // namespace

std::optional<UnixSeconds> parseTimestamp(const std::string& aText)
{
  std::tm parts{};
  const char* end = ::strptime(aText.c_str(), kTimestampFormat, &parts);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return UnixSeconds{ ::timegm(&parts) };
}

std::string formatTimestamp(UnixSeconds aTimestamp)
{
  const std::time_t seconds = aTimestamp.count();
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), kTimestampFormat, &parts);
  return { text.data(), length };
}

} // namespace bulrushrun
