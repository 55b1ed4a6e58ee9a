#pragma once

/// \file
/// \brief Umbrella of the membership slice: which instances are live, and what they report.

#include "bulrushrun/membership/Member.h"
// The table, pure.
#include "bulrushrun/membership/MemberTable.h"
#include "bulrushrun/membership/NewsRoles.h"
#include "bulrushrun/membership/UpdateQueue.h"
#include "bulrushrun/membership/ZoneRelays.h"
// Messages.
#include "bulrushrun/membership/GossipMessage.h"
#include "bulrushrun/membership/MessageSeal.h"
// Probing and spreading.
#include "bulrushrun/membership/Gossip.h"
