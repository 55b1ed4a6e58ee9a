#pragma once

#include "bulrushrun/configuration/Document.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Parses a configuration from YAML and validates it.
///
/// All findings are collected with their source locations; a document with a finding is not
/// returned.
///
/// \param aText  the YAML text
/// \param aFile  file name for findings
/// \param aFindings  receives all errors
/// \returns the document, or nothing when there was any finding
/// \sa checkDocument
std::optional<Document> readDocument(const std::string& aText,
                                     const std::string& aFile,
                                     Findings& aFindings);

} // namespace bulrushrun
