#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Parsed line of an instance's log.
struct LogLine
{
  /// Date and time as written; sorts in chronological order.
  std::string mTime;
  std::string mInstance;
  /// Event number, without `BR-`.
  int mEvent = 0;
  std::string mName;
  std::map<std::string, std::string> mFields;
  /// Text of the line starting at the event number.
  std::string mText;

  /// \brief \returns the value of a field; empty when it is missing.
  const std::string& field(const std::string& aName) const;
  /// \brief \returns the time in seconds since an epoch that is the same for all lines.
  double seconds() const;
  /// \brief \returns the value of a field as a number; zero when it is missing or not a number.
  double number(const std::string& aName) const;
};

/// \brief Parses one line. Text before the date, such as the prefix of a log collector, is
/// skipped. \returns std::nullopt for a line without an event
std::optional<LogLine> parseLogLine(std::string_view aLine);

} // namespace bulrushrun
