#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace bulrushrun {

/// \brief Bounds of what a server reads and starts ahead, in requests and bytes.
struct PipelineLimits
{
  /// Requests of one connection that are started ahead.
  std::size_t mRequests = 8;
  /// Bytes of one connection that are read ahead.
  std::size_t mReadAheadBytes = std::size_t{ 32 } * 1024;
  /// Responses of one connection that wait for their turn.
  std::size_t mConnectionBytes = std::size_t{ 256 } * 1024;
  /// Waiting responses, and requests started ahead, of all connections.
  std::size_t mProcessBytes = SIZE_MAX;
};

/// \brief Counters of a server's pipelined requests, for metrics.
struct PipelineCounters
{
  /// Requests that were read while an earlier one of their connection was in progress.
  std::uint64_t mReadAhead = 0;
  std::uint64_t mStartedAhead = 0;
  /// Requests started ahead whose connection ended before their turn.
  std::uint64_t mAbandoned = 0;
  /// Connections closed because h2o read a request differently than it had been started.
  std::uint64_t mMismatched = 0;
  /// Connections that are not read ahead because of a limit.
  std::size_t mConnectionsAtLimit = 0;
};

/// \brief Bytes that all pipelined requests of a server hold.
class PipelineAccount
{
public:
  void setLimits(const PipelineLimits& aLimits) { mLimits = aLimits; }
  /// \brief Sets the callback for the moments at which the limit is reached (true), and at which
  /// half of the bytes are free again (false).
  void setOnChange(std::function<void(bool)> aOnChange) { mOnChange = std::move(aOnChange); }
  const PipelineLimits& limits() const { return mLimits; }
  PipelineCounters& counters() { return mCounters; }
  const PipelineCounters& counters() const { return mCounters; }
  std::size_t heldBytes() const { return mHeldBytes; }
  bool isFull() const { return mHeldBytes >= mLimits.mProcessBytes; }

  /// \brief Replaces a number of held bytes by another one.
  void change(std::size_t aOld, std::size_t aNew)
  {
    mHeldBytes = mHeldBytes - aOld + aNew;
    const bool reached = mReached ? mHeldBytes > mLimits.mProcessBytes / 2 : isFull();
    if (reached != std::exchange(mReached, reached) && mOnChange) {
      mOnChange(reached);
    }
  }

private:
  PipelineLimits mLimits;
  PipelineCounters mCounters;
  std::function<void(bool)> mOnChange;
  std::size_t mHeldBytes = 0;
  bool mReached = false;
};

} // namespace bulrushrun
