#pragma once

#include "bulrushrun/configuration/Document.h"

namespace bulrushrun {

/// \brief Checks a document for consistency: duplicate names, references to unknown zones, regions
/// or targets, a claim retention that a late duplicate could outlive, exception rules that match
/// nothing.
///
/// \param aFile  file name for findings
/// \param aFindings  receives all errors
void checkDocument(const Document& aDocument, const std::string& aFile, Findings& aFindings);

} // namespace bulrushrun
