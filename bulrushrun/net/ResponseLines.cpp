#include "bulrushrun/net/ResponseLines.h"

namespace bulrushrun {

std::string_view ResponseLines::firstLine(std::string_view aBytes)
{
  const std::size_t end = aBytes.find('\n');
  return end == std::string_view::npos ? aBytes : aBytes.substr(0, end + 1);
}

const char* ResponseLines::verify(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    if (mAfterCarriageReturn ? byte != '\n' : byte == '\n' && mHasCarriageReturns) {
      return "a line of the response ends with a part of CR LF";
    }
    mAfterCarriageReturn = byte == '\r';
    mHasCarriageReturns = mHasCarriageReturns || mAfterCarriageReturn;
  }
  return nullptr;
}

} // namespace bulrushrun
