#pragma once

/// \file
/// \brief Umbrella header of the configuration module: settings, document, validation, publishing.

#include "bulrushrun/configuration/ExceptionRule.h"
#include "bulrushrun/configuration/Link.h"
#include "bulrushrun/configuration/Service.h"
// The document and its validation.
#include "bulrushrun/configuration/Document.h"
#include "bulrushrun/configuration/DocumentCheck.h"
#include "bulrushrun/configuration/DocumentReader.h"
#include "bulrushrun/configuration/Settings.h"
#include "bulrushrun/configuration/Timestamp.h"
// Publishing, and synchronization between instances.
#include "bulrushrun/configuration/ConfigurationPublisher.h"
#include "bulrushrun/configuration/ConfigurationRecord.h"
#include "bulrushrun/configuration/ConfigurationSync.h"
