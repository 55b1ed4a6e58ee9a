#pragma once

#include "ctl/Commands.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief What a file is meant to hold.
enum class FileKind
{
  Configuration,
  Settings,
};

/// \brief \returns the content of the file that the third word names, or nothing after saying why.
std::optional<std::string> readFileArgument(const std::vector<std::string>& aWords);

/// \brief Checks a text and prints its findings.
ExitCode validateText(const std::string& aText, const std::string& aFile, FileKind aKind);

/// \brief Checks the file that the third word names, without any instance.
ExitCode validateFile(const std::vector<std::string>& aWords, FileKind aKind);

} // namespace bulrushrun
