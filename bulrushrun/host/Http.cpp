#include "bulrushrun/host/Http.h"

#include <algorithm>
#include <array>

namespace bulrushrun {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopNames{ "connection",
                                                           "keep-alive",
                                                           "proxy-authenticate",
                                                           "proxy-authorization",
                                                           "te",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade",
                                                           "content-length",
                                                           "expect" };

char lowerAscii(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

/// \returns true when the Connection header lists the name, which makes that header hop-by-hop.
bool isListedByConnection(const Headers& aHeaders, std::string_view aName)
{
  const std::string* listed = findHeader(aHeaders, "connection");
  if (listed == nullptr) {
    return false;
  }
  std::string_view rest = *listed;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view item = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (equalHeaderNames(item, aName)) {
      return true;
    }
  }
  return false;
}

} // namespace

bool equalHeaderNames(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aFirst, char aSecond) {
      return lowerAscii(aFirst) == lowerAscii(aSecond);
    });
}

const std::string* findHeader(const Headers& aHeaders, std::string_view aName)
{
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
    return equalHeaderNames(aHeader.mName, aName);
  });
  return found == aHeaders.end() ? nullptr : &found->mValue;
}

void setHeader(Headers& aHeaders, std::string_view aName, std::string aValue)
{
  std::erase_if(aHeaders,
                [&](const Header& aHeader) { return equalHeaderNames(aHeader.mName, aName); });
  aHeaders.push_back({ std::string{ aName }, std::move(aValue) });
}

bool isHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHopNames.begin(), kHopByHopNames.end(), [&](std::string_view aHopByHopName) {
      return equalHeaderNames(aHopByHopName, aName);
    });
}

Headers endToEndHeaders(const Headers& aHeaders)
{
  Headers kept;
  kept.reserve(aHeaders.size());
  for (const Header& header : aHeaders) {
    if (!isHopByHop(header.mName) && !isListedByConnection(aHeaders, header.mName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

bool isStatusWithoutBody(int aStatus)
{
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

} // namespace bulrushrun
