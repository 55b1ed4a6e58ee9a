#pragma once

/// \file
/// \brief Umbrella of the configuration slice: settings, the document, its checks.

#include "bulrushrun/configuration/ExceptionRule.h"
#include "bulrushrun/configuration/Link.h"
#include "bulrushrun/configuration/Service.h"
// The whole document builds on the parts above.
#include "bulrushrun/configuration/Document.h"
#include "bulrushrun/configuration/DocumentCheck.h"
#include "bulrushrun/configuration/DocumentReader.h"
#include "bulrushrun/configuration/Settings.h"
#include "bulrushrun/configuration/Timestamp.h"
// Acceptance and spreading.
#include "bulrushrun/configuration/ConfigurationPublisher.h"
#include "bulrushrun/configuration/ConfigurationRecord.h"
#include "bulrushrun/configuration/ConfigurationSync.h"
