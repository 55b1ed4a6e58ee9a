#pragma once

/// \file
/// \brief Umbrella header of the store module: the table, the object store, the instance list and
/// the row store.

#include "bulrushrun/store/Platform.h"
// Codecs of the platform's protocols.
#include "bulrushrun/store/Base64.h"
#include "bulrushrun/store/CompressedText.h"
#include "bulrushrun/store/InstanceListCodec.h"
#include "bulrushrun/store/TableCodec.h"
// HTTP client of the platform.
#include "bulrushrun/store/BufferedExchange.h"
#include "bulrushrun/store/PlatformClient.h"
// Row store: rows, change feed and replica of a table.
#include "bulrushrun/store/StoreClock.h"
#include "bulrushrun/store/StoreEpoch.h"
#include "bulrushrun/store/StoreRow.h"
#include "bulrushrun/store/TableFeedReader.h"
#include "bulrushrun/store/TableReplica.h"
// Replication of its tables between instances.
#include "bulrushrun/store/PeerAdoption.h"
#include "bulrushrun/store/PeerReplicationCodec.h"
#include "bulrushrun/store/PeerReplicator.h"
#include "bulrushrun/store/SignedPayload.h"
