#pragma once

#include <string_view>

namespace bulrushrun {

/// \brief Verifies the lines of a response's head and those around its chunks, where http-parser
/// does not: it takes any byte after a carriage return for a line feed (RFC 9112, section 2.2), and
/// ignores zeros before the status, which has three digits (section 4).
///
/// Lines may arrive in parts. Line feeds alone may end the lines of a head, but not after a line
/// that ended with a carriage return and a line feed.
class ResponseLines
{
public:
  /// \brief \returns the bytes up to the end of the first line, or all.
  static std::string_view firstLine(std::string_view aBytes);

  /// \brief Verifies the next bytes, at most up to the end of a line.
  /// \returns why the response is malformed, or nullptr
  const char* verify(std::string_view aBytes);

  /// \brief Makes the next line one that has to be empty, as after the data of a chunk.
  void expectEmptyLine() { mExpectsEmptyLine = true; }

private:
  /// What the status line has had so far.
  enum class StatusLine
  {
    Version,
    Separator,
    Status,
  };

  bool startsStatusWithZero(char aByte);

  StatusLine mStatusLine = StatusLine::Version;
  bool mAfterCarriageReturn = false;
  bool mHasCarriageReturns = false;
  bool mExpectsEmptyLine = false;
};

} // namespace bulrushrun
