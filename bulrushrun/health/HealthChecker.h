#pragma once

#include "bulrushrun/configuration/Service.h"
#include "bulrushrun/host/Host.h"
#include "bulrushrun/store/BufferedExchange.h"

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief \returns true when a health check response reports that the target is leaving: status
/// 503, or a JSON body with `"state":"leaving"`.
bool reportsLeaving(const HttpResponse& aResponse);

/// \brief Runs periodic health checks of the owned targets.
///
/// A health check is only a hint that a target is leaving. Whether a target works is determined
/// from its responses to requests, because health checks may lag or be wrong. A failed health
/// check has no effect.
template<class HostType>
class HealthChecker
{
public:
  using OwnedTargets = std::function<std::vector<TargetSpec>()>;
  using OnState = std::function<void(const TargetId&, bool)>;

  /// \param aOwned  returns the targets to check
  /// \param aOnState  called with the result of each check: true when the target is leaving
  HealthChecker(HostType& aHost, OwnedTargets aOwned, OnState aOnState)
    : mHost(aHost)
    , mOwned(std::move(aOwned))
    , mOnState(std::move(aOnState))
  {
  }

  /// \brief Starts the periodic checks.
  void start()
  {
    mChecked.clear();
    checkNew();
    mHost.after(kPeriod, [this] { start(); });
  }

  /// \brief Checks a target immediately, in addition to its periodic checks.
  void checkNow(const TargetSpec& aTarget) { check(aTarget); }

  /// \brief Checks targets that were not checked in this period, such as newly owned ones.
  void checkNew()
  {
    for (const TargetSpec& target : mOwned()) {
      if (mChecked.insert(target.mId).second) {
        check(target);
      }
    }
  }

private:
  static constexpr Duration kPeriod = std::chrono::seconds(1);
  static constexpr Duration kTimeout = std::chrono::milliseconds(800);
  static constexpr std::size_t kMaxResponseBytes = 4096;

  void check(const TargetSpec& aTarget)
  {
    startBufferedExchange(
      mHost,
      aTarget.mEndpoint,
      { "GET", "/health", {}, {} },
      kTimeout,
      kMaxResponseBytes,
      [this, id = aTarget.mId](ExchangeResult aEnd, const HttpResponse& aResponse) {
        if (aEnd == ExchangeResult::Complete) {
          mOnState(id, reportsLeaving(aResponse));
        }
      });
  }

  HostType& mHost;
  OwnedTargets mOwned;
  OnState mOnState;
  std::set<TargetId> mChecked;
};

} // namespace bulrushrun
