#pragma once

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief \returns one line of text per exception in a configuration.
std::string describeExceptions(const std::string& aConfiguration);

/// \brief \returns the configuration with one more exception that marks a target or zone as
/// leaving.
///
/// Only the list of exceptions is rewritten; the rest of the text is unchanged.
/// \param aKind  "target" or "zone"; the result is std::nullopt for anything else
std::optional<std::string> withException(const std::string& aConfiguration,
                                         const std::string& aKind,
                                         const std::string& aName,
                                         const std::string& aAuthor,
                                         const std::string& aReason);

/// \brief \returns the configuration without the exceptions of that target or zone, or
/// std::nullopt when there are none.
std::optional<std::string> withoutException(const std::string& aConfiguration,
                                            const std::string& aKind,
                                            const std::string& aName);

} // namespace bulrushrun
