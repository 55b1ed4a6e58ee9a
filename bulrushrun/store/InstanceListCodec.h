#pragma once

#include "bulrushrun/store/Platform.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief \returns the instance list as JSON: `[{"id":…,"peer":"a.b.c.d:port","state":"live"}]`.
std::string encodeInstanceList(const std::vector<ListedInstance>& aInstances);

/// \brief \returns the instances in a JSON list, or nothing when it is malformed.
std::optional<std::vector<ListedInstance>> decodeInstanceList(const std::string& aText);

} // namespace bulrushrun
