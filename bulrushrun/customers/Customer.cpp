#include "bulrushrun/customers/Customer.h"

#include <algorithm>

namespace bulrushrun {

std::string logText(const CustomerName& aName)
{
  std::string text = aName.text();
  const bool isPlain = std::all_of(text.begin(), text.end(), [](char aByte) {
    return aByte > ' ' && aByte <= '~' && aByte != '"';
  });
  std::replace(text.begin(), text.end(), '"', '\'');
  return isPlain ? text : "\"" + text + "\"";
}

} // namespace bulrushrun
