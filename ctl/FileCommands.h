#pragma once

#include "ctl/Commands.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Expected content of a file.
enum class FileKind
{
  Configuration,
  Settings,
};

/// \brief \returns the contents of the file named by the third word. On failure, prints an error
/// and returns std::nullopt.
std::optional<std::string> readFileArgument(const std::vector<std::string>& aWords);

/// \brief Validates a text and prints its findings.
ExitCode validateText(const std::string& aText, const std::string& aFile, FileKind aKind);

/// \brief Validates the file named by the third word, without calling an instance.
ExitCode validateFile(const std::vector<std::string>& aWords, FileKind aKind);

} // namespace bulrushrun
