#include "bulrushrun/core/Files.h"

#include <fstream>
#include <sstream>

namespace bulrushrun {

std::optional<std::string> readFile(const std::string& aPath)
{
  std::ifstream file{ aPath };
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace bulrushrun
