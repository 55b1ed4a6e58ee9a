#pragma once

/// \file
/// \brief Umbrella of the store slice: the table, the object store and the instance list.

#include "bulrushrun/store/Table.h"
// Codecs of the published protocols.
#include "bulrushrun/store/Base64.h"
#include "bulrushrun/store/InstanceListCodec.h"
#include "bulrushrun/store/TableCodec.h"
// The client on top.
#include "bulrushrun/store/PlatformClient.h"
#include "bulrushrun/store/WholeExchange.h"
// The rows store: rows, and a table that is followed.
#include "bulrushrun/store/Row.h"
#include "bulrushrun/store/TableCopy.h"
#include "bulrushrun/store/TableFollower.h"
// What instances tell each other of its tables.
#include "bulrushrun/store/NewsExchange.h"
#include "bulrushrun/store/PeerNews.h"
