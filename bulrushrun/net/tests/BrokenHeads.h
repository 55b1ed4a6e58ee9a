#pragma once

#include <cctype>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// Status lines without a status that a final or interim response may have.
inline const std::vector<std::string> kInvalidStatusLines{
  "HTTP/1.1 000 Trouble",
  "HTTP/1.1 000",
  "HTTP/1.0 000 Trouble",
  "HTTP/1.1 0 Trouble",
  "HTTP/1.1 00 Trouble",
  "HTTP/1.1 1 Trouble",
  "HTTP/1.1 20 Trouble",
  "HTTP/1.1 20",
  "HTTP/1.1 99 Trouble",
  "HTTP/1.1 099 Trouble",
  "HTTP/1.1 600 Trouble",
  "HTTP/1.1 999 Trouble",
  "HTTP/1.1 1000 Trouble",
  "HTTP/1.1 2000 Trouble",
  "HTTP/1.1 0200 Trouble",
  "HTTP/1.1 0503 Trouble",
  "HTTP/1.1 00200",
  "HTTP/1.1  0200 Trouble",
  "\r\nHTTP/1.1 0200 Trouble",
  "HTTP/1.1 -1 Trouble",
  "HTTP/1.1 +200 Trouble",
  "HTTP/1.1 2x0 Trouble",
  "HTTP/1.1 200x Trouble",
  "HTTP/1.1 2 00 Trouble",
  "HTTP/1.1 0x200",
  "HTTP/1.1 200\x01 Trouble",
  "HTTP/1.1 OK",
  "HTTP/1.1 ",
  "HTTP/1.1",
  "HTTP/1.1 200 OK\rX",
};

/// \returns true for a character that the name of a field may contain (RFC 9110, token).
inline bool isTokenCharacter(char aCharacter)
{
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (static_cast<unsigned char>(aCharacter) < 128 &&
          std::isalnum(static_cast<unsigned char>(aCharacter)) != 0) ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

/// \returns lines in which the name contains a character that it must not: each such character at
/// the start, in the middle and at the end.
inline std::vector<std::string> linesWithMalformedName(const std::string& aName,
                                                       const std::string& aValue)
{
  std::vector<std::string> lines;
  for (int code = 0; code < 256; ++code) {
    const char character = static_cast<char>(code);
    if (isTokenCharacter(character)) {
      continue;
    }
    for (const std::size_t at : { std::size_t{ 0 }, aName.size() / 2, aName.size() }) {
      // A colon ends a name, which is malformed only if it is empty.
      if (character == ':' && at > 0) {
        continue;
      }
      lines.push_back(std::string(aName).insert(at, 1, character) + ": " + aValue + "\r\n");
    }
  }
  return lines;
}

/// \returns true when the line, unless it is the first, goes on with the value of the line before.
inline bool isContinuation(const std::string& aLine)
{
  return aLine.front() == ' ' || aLine.front() == '\t';
}

/// \returns the line as a failed check shows it.
inline std::string printable(const std::string& aLine)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char character : aLine) {
    const unsigned code = static_cast<unsigned char>(character);
    text += code >= 32 && code < 127 ? std::string(1, character)
                                     : std::string("\\x") + kDigits[code / 16] + kDigits[code % 16];
  }
  return text;
}

} // namespace bulrushrun
