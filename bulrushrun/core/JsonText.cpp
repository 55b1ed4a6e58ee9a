#include "bulrushrun/core/JsonText.h"

#include <algorithm>

namespace bulrushrun {

namespace {

constexpr std::ptrdiff_t kMaxValues = 400'000;

/// \returns at least the number of values, also where characters in strings are counted.
std::ptrdiff_t maxValueCount(std::string_view aText)
{
  std::ptrdiff_t count = 1;
  for (const char separator : { ',', '[', '{' }) {
    count += std::count(aText.begin(), aText.end(), separator);
  }
  return count;
}

} // namespace

nlohmann::json parseJson(std::string_view aText)
{
  if (maxValueCount(aText) > kMaxValues) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(aText, nullptr, false);
}

} // namespace bulrushrun
