#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/routing/ZoneTopology.h"
#include "bulrushrun/steering/LoadReport.h"
#include "bulrushrun/steering/LoadReportMessage.h"

#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace bulrushrun {

/// \brief Tells the other instances of the region which targets are busy.
///
/// An instance sends few requests to each target and would learn of a queue there only from its own
/// responses. Reports of busy targets, and of those that were busy shortly before, are collected
/// for a short time and sent together.
template<class HostType>
class LoadReportExchange
{
public:
  /// \param aOnLoad  runs for each report of another instance
  LoadReportExchange(HostType& aHost,
                     const ZoneTopology& aZones,
                     std::function<void(const TargetLoad&)> aOnLoad)
    : mHost(aHost)
    , mZones(aZones)
    , mOnLoad(std::move(aOnLoad))
  {
  }

  void join(Gossip<HostType>& aGossip) { mGossip = &aGossip; }
  /// \brief Takes a report from a response to this instance.
  void onReport(const TargetId& aTarget, const LoadReport& aReport);
  /// \brief Takes the reports in a message. \returns false when the message is malformed
  bool receive(std::string_view aPayload);

private:
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(30);
  /// Time for which a target counts as busy after a report.
  static constexpr Duration kBusyDuration = std::chrono::milliseconds(1500);
  /// Reports per message, so that a message fits into one Ethernet frame; more are dropped.
  static constexpr std::size_t kMaxReports = 40;

  void sendBatch();

  HostType& mHost;
  const ZoneTopology& mZones;
  std::function<void(const TargetLoad&)> mOnLoad;
  Gossip<HostType>* mGossip = nullptr;
  /// Newest load of each target to be reported.
  std::map<TargetId, int> mBatch;
  std::map<TargetId, TimePoint> mBusyUntil;
};

template<class HostType>
void LoadReportExchange<HostType>::onReport(const TargetId& aTarget, const LoadReport& aReport)
{
  const TimePoint now = mHost.now();
  std::erase_if(mBusyUntil, [&](const std::pair<const TargetId, TimePoint>& aEntry) {
    return aEntry.second <= now;
  });
  const bool wasBusy = mBusyUntil.contains(aTarget);
  if (mGossip == nullptr || (!aReport.isFull() && !wasBusy)) {
    return;
  }
  if (aReport.isFull()) {
    mBusyUntil[aTarget] = now + kBusyDuration;
  }
  if (mBatch.empty()) {
    mHost.after(kBatchDelay, [this] { sendBatch(); });
  }
  if (mBatch.size() < kMaxReports || mBatch.contains(aTarget)) {
    mBatch[aTarget] = aReport.total();
  }
}

template<class HostType>
void LoadReportExchange<HostType>::sendBatch()
{
  LoadReportMessage message;
  for (const auto& [target, requests] : std::exchange(mBatch, {})) {
    message.mLoads.push_back({ target, requests });
  }
  sendToOwnZone(*mGossip, { encodeLoadReports(message) });
  message.mForward = true;
  sendToZoneRelays(
    *mGossip, mHost.random(), { encodeLoadReports(message) }, [this](const ZoneName& aZone) {
      return mZones.distance(aZone) == Distance::SameRegion;
    });
}

template<class HostType>
bool LoadReportExchange<HostType>::receive(std::string_view aPayload)
{
  std::optional<LoadReportMessage> message = decodeLoadReports(aPayload);
  if (!message) {
    return false;
  }
  for (const TargetLoad& load : message->mLoads) {
    mOnLoad(load);
  }
  if (std::exchange(message->mForward, false) && mGossip != nullptr) {
    sendToOwnZone(*mGossip, { encodeLoadReports(*message) });
  }
  return true;
}

} // namespace bulrushrun
