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

/// \brief Numbered event; the catalogue in docs/EVENTS.md says what it asks of a person.
struct Event
{
  int mNumber = 0;
  Severity mSeverity = Severity::Info;
  const char* mName = "";
};

} // namespace bulrushrun
