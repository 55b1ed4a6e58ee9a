#pragma once

#include "bulrushrun/host/Event.h"

#include <string>

namespace bulrushrun {

/// \brief Sets up log4cxx: one line per event on standard output, never waiting for its
/// reader and at a bounded rate.
/// \sa BoundedLogSink
///
/// \param aInstance  the name that stands in each line
/// \param aLevel  debug, info, warn or error
void startLogging(const std::string& aInstance, const std::string& aLevel);

/// \brief Writes one numbered event: `BR-1001 instance-started listen=…`.
void logEvent(const Event& aEvent, const std::string& aText);

} // namespace bulrushrun
