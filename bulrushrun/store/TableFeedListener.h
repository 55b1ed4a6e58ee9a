#pragma once

#include "bulrushrun/store/StoreRow.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Callbacks of a TableFeedReader.
struct TableFeedListener
{
  /// Receives the complete table at a version, after each read of all its pages, and the time at
  /// which the store made the first page.
  std::function<void(const std::vector<StoreRow>&, RecordVersion, TimePoint)> mOnSnapshot;
  /// Receives changes in the order of their versions, none when the store reported no changes, and
  /// the time at which the store made the response.
  std::function<void(const std::vector<StoreRow>&, TimePoint)> mOnChanges;
  /// Runs when the store became unavailable (false, with the reason) or available again (true).
  std::function<void(bool, const std::string&)> mOnAvailability;
  /// Runs when a response stated a newer epoch than all before; the table is read again.
  std::function<void(StoreEpoch)> mOnNewEpoch = nullptr;
};

/// \brief Timeouts of feed calls.
struct FeedTimeouts
{
  /// Longest time for which the store may hold a feed call without changes (long polling).
  Duration mMaxWait = std::chrono::milliseconds(1000);
  /// Additional time after which a call without a response is aborted.
  Duration mTransferAllowance = std::chrono::milliseconds(600);
};

} // namespace bulrushrun
