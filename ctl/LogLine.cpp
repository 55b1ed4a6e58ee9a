#include "ctl/LogLine.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <ctime>

namespace bulrushrun {

namespace {

constexpr std::string_view kEventPrefix = " BR-";
/// `2026-12-04 08:15:30.123`
constexpr std::string_view kTimePattern = "0000-00-00 00:00:00.000";

bool matchesTimePattern(std::string_view aText)
{
  return aText.size() >= kTimePattern.size() &&
         std::equal(kTimePattern.begin(),
                    kTimePattern.end(),
                    aText.begin(),
                    [](char aPattern, char aLetter) {
                      return aPattern == '0' ? aLetter >= '0' && aLetter <= '9'
                                             : aPattern == aLetter;
                    });
}

/// Removes the first word from \a aRest. \returns that word
std::string_view takeWord(std::string_view& aRest)
{
  aRest.remove_prefix(std::min(aRest.find_first_not_of(' '), aRest.size()));
  const std::string_view word = aRest.substr(0, aRest.find(' '));
  aRest.remove_prefix(word.size());
  return word;
}

/// Removes the first `name=value` from \a aRest. A quoted value may contain spaces. \returns the
/// field
std::string_view takeField(std::string_view& aRest)
{
  aRest.remove_prefix(std::min(aRest.find_first_not_of(' '), aRest.size()));
  const std::size_t quote = aRest.find("=\"");
  const std::size_t space = aRest.find(' ');
  std::size_t end = std::min(space, aRest.size());
  if (quote != std::string_view::npos && quote < end) {
    const std::size_t closing = aRest.find('"', quote + 2);
    end = closing == std::string_view::npos ? aRest.size() : closing + 1;
  }
  const std::string_view field = aRest.substr(0, end);
  aRest.remove_prefix(end);
  return field;
}

} // namespace

const std::string& LogLine::field(const std::string& aName) const
{
  static const std::string kMissing;
  const auto found = mFields.find(aName);
  return found == mFields.end() ? kMissing : found->second;
}

double LogLine::number(const std::string& aName) const
{
  return std::strtod(field(aName).c_str(), nullptr);
}

double LogLine::seconds() const
{
  std::tm parts{};
  constexpr std::size_t kMillisPosition = 20;
  constexpr double kMillis = 1000;
  ::strptime(mTime.c_str(), "%Y-%m-%d %H:%M:%S", &parts);
  return static_cast<double>(::timegm(&parts)) +
         std::strtod(mTime.c_str() + kMillisPosition, nullptr) / kMillis;
}

std::optional<LogLine> parseLogLine(std::string_view aLine)
{
  const std::size_t event = aLine.find(kEventPrefix);
  if (event == std::string_view::npos) {
    return std::nullopt;
  }
  std::size_t at = 0;
  while (at < event && !matchesTimePattern(aLine.substr(at))) {
    ++at;
  }
  if (at == event) {
    return std::nullopt;
  }
  LogLine line;
  line.mTime = aLine.substr(at, kTimePattern.size());
  std::string_view rest = aLine.substr(at + kTimePattern.size(), event - at - kTimePattern.size());
  // Skip the log level.
  takeWord(rest);
  line.mInstance = takeWord(rest);
  line.mText = aLine.substr(event + 1);
  rest = aLine.substr(event + kEventPrefix.size());
  const std::string_view number = takeWord(rest);
  std::from_chars(number.data(), number.data() + number.size(), line.mEvent);
  line.mName = takeWord(rest);
  while (!rest.empty()) {
    const std::string_view field = takeField(rest);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) {
      continue;
    }
    std::string_view value = field.substr(equals + 1);
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"') {
      value = value.substr(1, value.size() - 2);
    }
    line.mFields[std::string{ field.substr(0, equals) }] = value;
  }
  return line;
}

} // namespace bulrushrun
