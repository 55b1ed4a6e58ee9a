#pragma once

/// \file
/// \brief Umbrella of the membership slice: which instances are live, and what they report.

#include "bulrushrun/membership/Member.h"
// The table, pure.
#include "bulrushrun/membership/MemberTable.h"
#include "bulrushrun/membership/ReplicationRoles.h"
#include "bulrushrun/membership/UpdateQueue.h"
#include "bulrushrun/membership/ZoneRelays.h"
// Messages.
#include "bulrushrun/membership/GossipMessage.h"
#include "bulrushrun/membership/MessageAuthenticator.h"
// Probing and spreading.
#include "bulrushrun/membership/Gossip.h"
