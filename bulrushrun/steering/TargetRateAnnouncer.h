#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/steering/TargetRateMessage.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Announces the rate limits of targets, and their ends, to the other instances.
///
/// An instance without a quota of a target's rate sends it few requests, so it would learn of a
/// change late from its own responses. An announcement goes to the other instances of the zone and
/// to one instance of each other zone, which forwards it there. One that is lost is made up for by
/// responses.
template<class HostType>
class TargetRateAnnouncer
{
public:
  /// \param aOnRate  runs for each rate that another instance announced
  TargetRateAnnouncer(HostType& aHost, std::function<void(const TargetRate&)> aOnRate)
    : mHost(aHost)
    , mOnRate(std::move(aOnRate))
  {
  }

  void join(Gossip<HostType>& aGossip) { mGossip = &aGossip; }
  /// \brief Announces a rate with the next batch.
  void announce(const TargetRate& aRate);
  /// \brief Takes the rates in a message. \returns false when the message is malformed
  bool receive(std::string_view aPayload);

private:
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
  /// Rates per message, so that a message fits into one Ethernet frame; the oldest are dropped.
  static constexpr std::size_t kMaxRates = 24;

  void sendBatch();

  HostType& mHost;
  std::function<void(const TargetRate&)> mOnRate;
  Gossip<HostType>* mGossip = nullptr;
  std::vector<TargetRate> mBatch;
};

template<class HostType>
void TargetRateAnnouncer<HostType>::announce(const TargetRate& aRate)
{
  if (mBatch.empty()) {
    mHost.after(kBatchDelay, [this] { sendBatch(); });
  }
  std::erase_if(mBatch, [&](const TargetRate& aOther) { return aOther.mTarget == aRate.mTarget; });
  if (mBatch.size() >= kMaxRates) {
    mBatch.erase(mBatch.begin());
  }
  mBatch.push_back(aRate);
}

template<class HostType>
void TargetRateAnnouncer<HostType>::sendBatch()
{
  TargetRateMessage message{ false, std::exchange(mBatch, {}) };
  if (mGossip == nullptr) {
    return;
  }
  sendToOwnZone(*mGossip, { encodeTargetRates(message) });
  message.mForward = true;
  sendToZoneRelays(
    *mGossip, mHost.random(), { encodeTargetRates(message) }, [](const ZoneName&) { return true; });
}

template<class HostType>
bool TargetRateAnnouncer<HostType>::receive(std::string_view aPayload)
{
  std::optional<TargetRateMessage> message = decodeTargetRates(aPayload);
  if (!message) {
    return false;
  }
  for (const TargetRate& rate : message->mRates) {
    mOnRate(rate);
  }
  if (std::exchange(message->mForward, false) && mGossip != nullptr) {
    sendToOwnZone(*mGossip, { encodeTargetRates(*message) });
  }
  return true;
}

} // namespace bulrushrun
