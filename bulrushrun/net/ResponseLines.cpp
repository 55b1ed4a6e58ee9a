#include "bulrushrun/net/ResponseLines.h"

#include <utility>

namespace bulrushrun {

std::string_view ResponseLines::firstLine(std::string_view aBytes)
{
  const std::size_t end = aBytes.find('\n');
  return end == std::string_view::npos ? aBytes : aBytes.substr(0, end + 1);
}

/// Follows the status line up to the first digit of its status.
bool ResponseLines::startsStatusWithZero(char aByte)
{
  if (mStatusLine == StatusLine::Status) {
    return false;
  }
  if (aByte == ' ') {
    mStatusLine = StatusLine::Separator;
  } else if (mStatusLine == StatusLine::Separator) {
    mStatusLine = StatusLine::Status;
    return aByte == '0';
  }
  return false;
}

const char* ResponseLines::verify(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (mAfterCarriageReturn ? byte != '\n' : byte == '\n' && mHasCarriageReturns) {
      return "a line of the response ends with a part of CR LF";
    }
    if (std::exchange(mExpectsEmptyLine, false) && byte != '\r') {
      return "a chunk of the response is longer than its size";
    }
    if (startsStatusWithZero(byte)) {
      return "the status of the response is not valid";
    }
    mAfterCarriageReturn = byte == '\r';
    mHasCarriageReturns = mHasCarriageReturns || mAfterCarriageReturn;
  }
  return nullptr;
}

} // namespace bulrushrun
