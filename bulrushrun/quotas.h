#pragma once

/// \file
/// \brief Umbrella header of the quotas module: limits on customers' requests over all instances.

#include "bulrushrun/quotas/QuotaLimits.h"
#include "bulrushrun/quotas/QuotaMessage.h"
#include "bulrushrun/quotas/QuotaTiming.h"
// Decisions; no I/O.
#include "bulrushrun/quotas/OwnAccrual.h"
#include "bulrushrun/quotas/QuotaCoordinator.h"
#include "bulrushrun/quotas/QuotaHolder.h"
#include "bulrushrun/quotas/TokenAccount.h"
#include "bulrushrun/quotas/TokenPool.h"
#include "bulrushrun/quotas/WaitingRequests.h"
// Exchange over gossip, and the admission of requests.
#include "bulrushrun/quotas/QuotaExchange.h"
#include "bulrushrun/quotas/QuotaGate.h"
#include "bulrushrun/quotas/QuotaMetrics.h"
