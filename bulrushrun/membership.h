#pragma once

/// \file
/// \brief Umbrella header of the membership module: live instances and the state they report.

#include "bulrushrun/membership/Member.h"
// Member table and roles, without I/O.
#include "bulrushrun/membership/MemberTable.h"
#include "bulrushrun/membership/ReplicationRoles.h"
#include "bulrushrun/membership/UpdateQueue.h"
#include "bulrushrun/membership/ZoneRelays.h"
// Control messages.
#include "bulrushrun/membership/GossipMessage.h"
#include "bulrushrun/membership/MessageAuthenticator.h"
// Failure detection and dissemination.
#include "bulrushrun/membership/Gossip.h"
#include "bulrushrun/membership/ZoneBroadcast.h"
