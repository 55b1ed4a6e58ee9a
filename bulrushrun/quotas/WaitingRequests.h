#pragma once

#include "bulrushrun/quotas/QuotaLimits.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

namespace bulrushrun {

/// \brief A request that waits for a token.
struct WaitingRequest
{
  RequestId mId;
  LimitId mLimit;
  /// 0 is the highest.
  int mPriority = 0;
  TimePoint mArrived;
  /// The request is refused if it has no token by then.
  TimePoint mUntil;
};

/// \brief The requests of one instance that wait for tokens, a bounded number.
class WaitingRequests
{
public:
  static constexpr std::size_t kMaxRequests = 256;

  bool isFull() const { return mRequests.size() >= kMaxRequests; }
  bool empty() const { return mRequests.empty(); }
  void add(const WaitingRequest& aRequest) { mRequests.push_back(aRequest); }

  /// \brief Removes a request. \returns it, or nothing when it does not wait
  std::optional<WaitingRequest> remove(RequestId aId)
  {
    const auto found =
      std::find_if(mRequests.begin(), mRequests.end(), [&](const WaitingRequest& aOther) {
        return aOther.mId == aId;
      });
    if (found == mRequests.end()) {
      return std::nullopt;
    }
    const WaitingRequest removed = *found;
    mRequests.erase(found);
    return removed;
  }

  /// \brief \returns the request of a limit that gets the next token: the most urgent one, among
  /// these the oldest.
  std::optional<WaitingRequest> first(LimitId aLimit) const
  {
    std::optional<WaitingRequest> first;
    for (const WaitingRequest& request : mRequests) {
      if (request.mLimit == aLimit && (!first || isBefore(request, *first))) {
        first = request;
      }
    }
    return first;
  }

  /// \brief \returns the number of requests that wait for tokens of a limit.
  std::uint32_t count(LimitId aLimit) const
  {
    return static_cast<std::uint32_t>(
      std::count_if(mRequests.begin(), mRequests.end(), [&](const WaitingRequest& aRequest) {
        return aRequest.mLimit == aLimit;
      }));
  }

  /// \brief \returns the requests that have waited for too long.
  std::vector<WaitingRequest> expired(TimePoint aNow) const
  {
    std::vector<WaitingRequest> expired;
    std::copy_if(mRequests.begin(),
                 mRequests.end(),
                 std::back_inserter(expired),
                 [&](const WaitingRequest& aRequest) { return aRequest.mUntil <= aNow; });
    return expired;
  }

  const std::vector<WaitingRequest>& all() const { return mRequests; }

private:
  static bool isBefore(const WaitingRequest& aLeft, const WaitingRequest& aRight)
  {
    return std::tuple{ aLeft.mPriority, aLeft.mArrived, aLeft.mId } <
           std::tuple{ aRight.mPriority, aRight.mArrived, aRight.mId };
  }

  std::vector<WaitingRequest> mRequests;
};

} // namespace bulrushrun
