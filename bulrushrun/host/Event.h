#pragma once

#include <string>

namespace bulrushrun {

/// \brief Severity of a numbered event.
enum class Severity
{
  Debug,
  Info,
  Warn,
  Error,
};

/// \brief Numbered log event; docs/EVENTS.md describes what an operator should do about it.
struct Event
{
  int mNumber = 0;
  Severity mSeverity = Severity::Info;
  const char* mName = "";
};

} // namespace bulrushrun
