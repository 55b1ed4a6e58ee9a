#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief One line of an instance's log, in its parts.
struct LogLine
{
  /// Date and time as written; compares in order of time.
  std::string mTime;
  std::string mInstance;
  /// Number of the event, without `BR-`.
  int mEvent = 0;
  std::string mName;
  std::map<std::string, std::string> mFields;
  /// Everything from the event's number on.
  std::string mText;

  /// \brief \returns a field; empty when it is missing.
  const std::string& field(const std::string& aName) const;
  /// \brief \returns the time in seconds since some day's midnight that is the same for all lines.
  double seconds() const;
  /// \brief \returns a field as a number; zero when it is missing or no number.
  double number(const std::string& aName) const;
};

/// \brief Reads one line. What stands before the date, such as the prefix of a log collector, is
/// skipped. \returns nothing for a line without an event
std::optional<LogLine> parseLogLine(std::string_view aLine);

} // namespace bulrushrun
