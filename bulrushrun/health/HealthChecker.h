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

/// \brief \returns true when a health page says that its target is leaving: status 503, or a JSON
/// body with `"state":"leaving"`.
bool reportsLeaving(const HttpResponse& aResponse);

/// \brief Polls the health pages of the owned targets.
///
/// A page is a hint about leaving only: whether a target works is judged by its answers, as a page
/// may lag or mislead. No answer changes nothing.
template<class HostType>
class HealthChecker
{
public:
  using OwnedTargets = std::function<std::vector<TargetSpec>()>;
  using OnState = std::function<void(const TargetId&, bool)>;

  /// \param aOwned  lists the targets to poll
  /// \param aOnState  learns what each page says: leaving or not
  HealthChecker(HostType& aHost, OwnedTargets aOwned, OnState aOnState)
    : mHost(aHost)
    , mOwned(std::move(aOwned))
    , mOnState(std::move(aOnState))
  {
  }

  /// \brief Begins to poll.
  void start()
  {
    mPolled.clear();
    pollNew();
    mHost.after(kPeriod, [this] { start(); });
  }

  /// \brief Polls a target out of turn.
  void pollNow(const TargetSpec& aTarget) { poll(aTarget); }

  /// \brief Polls targets that were not polled in this period, such as ones just taken over.
  void pollNew()
  {
    for (const TargetSpec& target : mOwned()) {
      if (mPolled.insert(target.mId).second) {
        poll(target);
      }
    }
  }

private:
  static constexpr Duration kPeriod = std::chrono::seconds(1);
  static constexpr Duration kLimit = std::chrono::milliseconds(800);
  static constexpr std::size_t kMaxBytes = 4096;

  void poll(const TargetSpec& aTarget)
  {
    startBufferedExchange(
      mHost,
      aTarget.mEndpoint,
      { "GET", "/health", {}, {} },
      kLimit,
      kMaxBytes,
      [this, id = aTarget.mId](ExchangeResult aEnd, const HttpResponse& aResponse) {
        if (aEnd == ExchangeResult::Complete) {
          mOnState(id, reportsLeaving(aResponse));
        }
      });
  }

  HostType& mHost;
  OwnedTargets mOwned;
  OnState mOnState;
  std::set<TargetId> mPolled;
};

} // namespace bulrushrun
