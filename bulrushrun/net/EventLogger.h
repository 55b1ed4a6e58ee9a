#pragma once

#include "bulrushrun/host/Event.h"

#include <string>

namespace bulrushrun {

/// \brief Configures log4cxx to write one line per event to standard output, without blocking on
/// the reader and at a limited rate.
/// \sa BoundedLogSink
///
/// \param aInstance  name of the instance, written in each line
/// \param aLevel  least severity that is written: debug, info, warn or error
void startLogging(const std::string& aInstance, const std::string& aLevel);

/// \brief Logs one numbered event: `BR-1001 instance-started listen=…`.
void logEvent(const Event& aEvent, const std::string& aText);

} // namespace bulrushrun
