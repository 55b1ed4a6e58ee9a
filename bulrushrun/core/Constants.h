#pragma once

#include "bulrushrun/core/Time.h"

#include <cstddef>

/// \file
/// \brief Constants shared by several modules.

namespace bulrushrun {

/// \brief Maximum bytes of a streamed response that are buffered for a slow reader before reading
/// from the target stops.
inline constexpr std::size_t kStreamBufferBytes = std::size_t{ 64 } * 1024;

/// \brief Maximum size of a request body held in memory, in bytes.
inline constexpr std::size_t kMaxRequestBodyBytes = std::size_t{ 8 } * 1024 * 1024;

/// \brief Maximum size of a response stored inline in a claim record, in bytes.
inline constexpr std::size_t kMaxInlineOutcomeBytes = std::size_t{ 32 } * 1024;

/// \brief Maximum size of a response stored for replay, in bytes.
inline constexpr std::size_t kMaxStoredOutcomeBytes = std::size_t{ 1024 } * 1024;

/// \brief Time for which a caller may cache a lookup response.
inline constexpr Duration kLookupTimeToLive = std::chrono::seconds(2);

/// \brief Deadline of a request that specifies none, relative to its arrival.
inline constexpr Duration kDefaultDeadline = std::chrono::seconds(10);

/// \brief Share of the requests of a region's callers that may change the region in which they run
/// from one window to the next, where the deployment sets no other.
inline constexpr double kDefaultMaxShift = 0.15;

/// \brief Maximum deadline of a request; longer ones are reduced to it.
inline constexpr Duration kMaxDeadline = std::chrono::minutes(10);

} // namespace bulrushrun
