#pragma once

/// \file
/// \brief Umbrella of the claims slice: requests that run at most once.

#include "bulrushrun/claims/Claim.h"
#include "bulrushrun/claims/ClaimRecord.h"
// Transactions of many writes.
#include "bulrushrun/claims/TransactionRateLimiter.h"
#include "bulrushrun/claims/WriteBatcher.h"
// Claims on top.
#include "bulrushrun/claims/ClaimStore.h"
