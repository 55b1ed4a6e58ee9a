#pragma once

#include "ctl/ApiClient.h"

#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Exit codes of bulrushctl.
enum class ExitCode
{
  Done = 0,
  /// The request could not be sent or was refused.
  Failed = 1,
  /// The command line, a settings file or a configuration is invalid.
  BadInput = 2,
  /// Another change of the configuration was applied first.
  Conflict = 3,
  /// The store did not respond. Sending the same change again tells whether it was applied.
  Unresolved = 4,
};

/// \brief Values of the command line flags.
struct CommandOptions
{
  std::string mAddress;
  std::string mToken;
  std::string mAuthor;
  std::string mReason;
  std::string mChangeId;
  std::int64_t mBaseVersion = -1;
  std::int64_t mVersion = -1;
  std::string mTenant;
  std::string mService;
  std::string mClass;
  /// JSON output instead of text.
  bool mJson = false;
};

/// \brief Runs one command.
/// \param aWords  words of the command line after the program name
ExitCode runCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

} // namespace bulrushrun
