#pragma once

/// \file
/// \brief Umbrella of the store slice: the table, the object store and the instance list.

#include "bulrushrun/store/Platform.h"
// Codecs of the published protocols.
#include "bulrushrun/store/Base64.h"
#include "bulrushrun/store/InstanceListCodec.h"
#include "bulrushrun/store/TableCodec.h"
// The client on top.
#include "bulrushrun/store/BufferedExchange.h"
#include "bulrushrun/store/PlatformClient.h"
// The rows store: rows, and a table that is followed.
#include "bulrushrun/store/StoreRow.h"
#include "bulrushrun/store/TableFeedReader.h"
#include "bulrushrun/store/TableReplica.h"
// What instances tell each other of its tables.
#include "bulrushrun/store/PeerReplicationCodec.h"
#include "bulrushrun/store/PeerReplicator.h"
