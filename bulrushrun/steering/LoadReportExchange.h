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
  /// \param aOnLoad  runs for each load that another instance reports
  /// \param aOnSlowdown  runs for each slow target that another instance reports
  LoadReportExchange(HostType& aHost,
                     const ZoneTopology& aZones,
                     std::function<void(const TargetLoad&)> aOnLoad,
                     std::function<void(const TargetSlowdown&)> aOnSlowdown = nullptr)
    : mHost(aHost)
    , mZones(aZones)
    , mOnLoad(std::move(aOnLoad))
    , mOnSlowdown(std::move(aOnSlowdown))
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

  /// Targets at which work takes at least this multiple of the usual time are reported.
  static constexpr double kMinSlowdown = 1.5;

  void onSlowdown(const TargetId& aTarget, double aSlowdown);
  bool receiveSlowdowns(std::string_view aPayload);
  /// Sends a message to the zone and to one relay of the region's other zones.
  template<class Message, class Encode>
  void broadcastToRegion(Message aMessage, const Encode& aEncode);
  void sendBatch();

  HostType& mHost;
  const ZoneTopology& mZones;
  std::function<void(const TargetLoad&)> mOnLoad;
  std::function<void(const TargetSlowdown&)> mOnSlowdown;
  Gossip<HostType>* mGossip = nullptr;
  /// Newest load of each target to be reported.
  std::map<TargetId, int> mBatch;
  /// The same for slow targets.
  std::map<TargetId, double> mSlowdowns;
  std::map<TargetId, TimePoint> mBusyUntil;
};

template<class HostType>
void LoadReportExchange<HostType>::onReport(const TargetId& aTarget, const LoadReport& aReport)
{
  const TimePoint now = mHost.now();
  if (mGossip != nullptr && aReport.mSlowdown && *aReport.mSlowdown >= kMinSlowdown) {
    onSlowdown(aTarget, *aReport.mSlowdown);
  }
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
  if (mBatch.empty() && mSlowdowns.empty()) {
    mHost.after(kBatchDelay, [this] { sendBatch(); });
  }
  if (mBatch.size() < kMaxReports || mBatch.contains(aTarget)) {
    mBatch[aTarget] = aReport.total();
  }
}

template<class HostType>
void LoadReportExchange<HostType>::onSlowdown(const TargetId& aTarget, double aSlowdown)
{
  if (mBatch.empty() && mSlowdowns.empty()) {
    mHost.after(kBatchDelay, [this] { sendBatch(); });
  }
  if (mSlowdowns.size() < kMaxReports || mSlowdowns.contains(aTarget)) {
    mSlowdowns[aTarget] = aSlowdown;
  }
}

template<class HostType>
template<class Message, class Encode>
void LoadReportExchange<HostType>::broadcastToRegion(Message aMessage, const Encode& aEncode)
{
  sendToOwnZone(*mGossip, { aEncode(aMessage) });
  aMessage.mForward = true;
  sendToZoneRelays(*mGossip, mHost.random(), { aEncode(aMessage) }, [this](const ZoneName& aZone) {
    return mZones.distance(aZone) == Distance::SameRegion;
  });
}

template<class HostType>
void LoadReportExchange<HostType>::sendBatch()
{
  LoadReportMessage message;
  for (const auto& [target, requests] : std::exchange(mBatch, {})) {
    message.mLoads.push_back({ target, requests });
  }
  if (!message.mLoads.empty()) {
    broadcastToRegion(std::move(message), encodeLoadReports);
  }
  SlowdownMessage slowdowns;
  for (const auto& [target, slowdown] : std::exchange(mSlowdowns, {})) {
    slowdowns.mSlowdowns.push_back({ target, slowdown });
  }
  if (!slowdowns.mSlowdowns.empty()) {
    broadcastToRegion(std::move(slowdowns), encodeSlowdowns);
  }
}

template<class HostType>
bool LoadReportExchange<HostType>::receive(std::string_view aPayload)
{
  std::optional<LoadReportMessage> message = decodeLoadReports(aPayload);
  if (!message) {
    return receiveSlowdowns(aPayload);
  }
  for (const TargetLoad& load : message->mLoads) {
    mOnLoad(load);
  }
  if (std::exchange(message->mForward, false) && mGossip != nullptr) {
    sendToOwnZone(*mGossip, { encodeLoadReports(*message) });
  }
  return true;
}

template<class HostType>
bool LoadReportExchange<HostType>::receiveSlowdowns(std::string_view aPayload)
{
  std::optional<SlowdownMessage> message = decodeSlowdowns(aPayload);
  if (!message) {
    return false;
  }
  for (const TargetSlowdown& slowdown : message->mSlowdowns) {
    if (mOnSlowdown) {
      mOnSlowdown(slowdown);
    }
  }
  if (std::exchange(message->mForward, false) && mGossip != nullptr) {
    sendToOwnZone(*mGossip, { encodeSlowdowns(*message) });
  }
  return true;
}

} // namespace bulrushrun
