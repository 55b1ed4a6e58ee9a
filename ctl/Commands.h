#pragma once

#include "ctl/ApiClient.h"

#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Exit codes of bulrushctl.
enum class ExitCode
{
  Done = 0,
  /// The call could not be made or was refused.
  Failed = 1,
  /// The command line, a settings file or a configuration has findings.
  BadInput = 2,
  /// Another change came first.
  Conflict = 3,
  /// The store gave no answer; the same change sent again learns its fate.
  Unresolved = 4,
};

/// \brief What the flags say.
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
  /// Output for programs instead of people.
  bool mJson = false;
};

/// \brief Runs one command: the words of the command line behind the program's name.
ExitCode runCommand(const std::vector<std::string>& aWords, const CommandOptions& aOptions);

} // namespace bulrushrun
