#pragma once

/// \file
/// \brief Umbrella header of the claims module: claims for at-most-once requests.

#include "bulrushrun/claims/Claim.h"
#include "bulrushrun/claims/ClaimRecord.h"
// Batching of writes into transactions.
#include "bulrushrun/claims/TransactionRateLimiter.h"
#include "bulrushrun/claims/WriteBatcher.h"
// Claims on top of it.
#include "bulrushrun/claims/ClaimStore.h"
