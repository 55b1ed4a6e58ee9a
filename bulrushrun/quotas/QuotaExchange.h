#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/quotas/QuotaCoordinator.h"
#include "bulrushrun/quotas/QuotaHolder.h"
#include "bulrushrun/routing/Rendezvous.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Reports to the coordinator of quotas and grants of it, over gossip; and the coordinator
/// itself, should other instances take this one for it.
template<class HostType>
class QuotaExchange
{
public:
  /// \param aSelf  id of this instance
  /// \param aPeer  where this instance gets gossip messages
  /// \param aOnTokens  runs for each limit of which a grant was received
  QuotaExchange(HostType& aHost,
                const InstanceId& aSelf,
                const Endpoint& aPeer,
                std::function<void(LimitId)> aOnTokens)
    : mHost(aHost)
    , mSelf(aSelf)
    , mOnTokens(std::move(aOnTokens))
    , mHolder(aPeer, aHost.random().next())
  {
    // Nothing accrues before the other instances are known.
    mHolder.setMembership({ 1, std::nullopt, TimePoint::max() }, mHost.now());
  }
  QuotaExchange(const QuotaExchange&) = delete;
  QuotaExchange& operator=(const QuotaExchange&) = delete;
  ~QuotaExchange() { mHost.cancelTimer(mTimer); }

  void setLimits(const std::shared_ptr<const QuotaLimits>& aLimits);
  void setBounds(const QuotaBounds& aBounds) { mCoordinator.setBounds(aBounds); }
  /// \brief Takes the members of the fleet.
  /// \param aInstances  known instances, those considered dead included
  void setMembers(Gossip<HostType>& aGossip, std::size_t aInstances, TimePoint aAccruesFrom);
  /// \brief Handles a message. \returns false when it is none of this protocol
  bool receive(std::string_view aPayload);
  /// \brief Sends a report as soon as one is due, after a request found no token.
  void requestTokens();

  /// \brief \returns true when the members of the fleet are known.
  bool hasMembers() const { return mGossip != nullptr; }
  QuotaHolder& holder() { return mHolder; }
  const QuotaHolder& holder() const { return mHolder; }
  const QuotaCoordinator& coordinator() const { return mCoordinator; }

private:
  /// Shortest interval between reports to the coordinator in the same process.
  static constexpr Duration kMinLocalGap = std::chrono::milliseconds(5);
  /// Key of the rendezvous order that determines the coordinator.
  static constexpr std::uint64_t kCoordinatorKey = hashText("coordinator of quotas");

  /// Reports of the whole fleet take a large part of a small instance's processor time, and every
  /// instance waits for the responses, so that a larger instance is preferred more than in
  /// proportion.
  static double coordinatorWeight(const Member& aMember)
  {
    const double share = std::max(aMember.mProcessorShare, 1U);
    return share * share * share;
  }
  void schedule();
  void report();
  void onGrant(const QuotaGrant& aGrant);

  HostType& mHost;
  InstanceId mSelf;
  std::function<void(LimitId)> mOnTokens;
  QuotaHolder mHolder;
  QuotaCoordinator mCoordinator;
  Gossip<HostType>* mGossip = nullptr;
  std::optional<Member> mCoordinatorMember;
  std::uint32_t mInstances = 1;
  TimePoint mReportedAt;
  TimerId mTimer;
  TimePoint mTimerDue;
};

template<class HostType>
void QuotaExchange<HostType>::setLimits(const std::shared_ptr<const QuotaLimits>& aLimits)
{
  mHolder.setLimits(aLimits);
  mCoordinator.setLimits(aLimits, mHost.now());
}

template<class HostType>
void QuotaExchange<HostType>::setMembers(Gossip<HostType>& aGossip,
                                         std::size_t aInstances,
                                         TimePoint aAccruesFrom)
{
  mGossip = &aGossip;
  mInstances = static_cast<std::uint32_t>(std::max<std::size_t>(aInstances, 1));
  std::vector<Member> live = aGossip.table().all();
  std::erase_if(live, [](const Member& aMember) {
    return aMember.mState != MemberState::Alive && aMember.mState != MemberState::Suspect;
  });
  const Member* first =
    rendezvousWinner(kCoordinatorKey, live, coordinatorWeight, [](const Member& aMember) {
      return hashText(aMember.mId.text());
    });
  const bool isChanged =
    first != nullptr && (!mCoordinatorMember || mCoordinatorMember->mId != first->mId);
  mCoordinatorMember = first == nullptr ? std::nullopt : std::optional{ *first };
  const std::optional<std::uint64_t> coordinator =
    first == nullptr ? std::nullopt : std::optional{ hashText(first->mId.text()) };
  mHolder.setMembership({ mInstances, coordinator, aAccruesFrom }, mHost.now());
  if (isChanged) {
    mHost.log(events::kQuotaCoordinator,
              "coordinator=" + first->mId.text() + " instances=" + std::to_string(mInstances));
  }
  schedule();
}

template<class HostType>
void QuotaExchange<HostType>::schedule()
{
  const TimePoint now = mHost.now();
  const TimePoint due = std::max(mHolder.nextReportAt(), now);
  if (mGossip == nullptr || (mTimerDue > now && mTimerDue <= due)) {
    return;
  }
  mHost.cancelTimer(mTimer);
  mTimerDue = due;
  mTimer = mHost.after(due - now, [this] {
    mTimerDue = TimePoint{};
    if (mHolder.nextReportAt() <= mHost.now()) {
      report();
    }
    schedule();
  });
}

template<class HostType>
void QuotaExchange<HostType>::requestTokens()
{
  const bool isLocal = mCoordinatorMember && mCoordinatorMember->mId == mSelf;
  if (isLocal && mHost.now() - mReportedAt >= kMinLocalGap) {
    report();
  }
  schedule();
}

template<class HostType>
void QuotaExchange<HostType>::report()
{
  const TimePoint now = mHost.now();
  const bool wasAlone = mHolder.isAlone();
  mReportedAt = now;
  const std::vector<QuotaReport> reports = mHolder.makeReports(now);
  if (mHolder.isAlone() && !wasAlone) {
    mHost.log(events::kQuotaAlone,
              "coordinator=" + (mCoordinatorMember ? mCoordinatorMember->mId.text() : "-") +
                " instances=" + std::to_string(mInstances));
  }
  for (const QuotaReport& report : reports) {
    if (mCoordinatorMember->mId == mSelf) {
      const std::optional<QuotaGrant> grant = mCoordinator.onReport(report, mInstances, now);
      if (grant) {
        onGrant(*grant);
      }
    } else {
      mGossip->sendPayload(mCoordinatorMember->mPeer, encodeQuotaReport(report));
    }
  }
}

template<class HostType>
void QuotaExchange<HostType>::onGrant(const QuotaGrant& aGrant)
{
  const bool wasAlone = mHolder.isAlone();
  const std::vector<LimitId> limits = mHolder.onGrant(aGrant, mHost.now());
  if (wasAlone && !mHolder.isAlone()) {
    mHost.log(events::kQuotaCoordinated,
              "coordinator=" + (mCoordinatorMember ? mCoordinatorMember->mId.text() : "-"));
  }
  for (const LimitId limit : limits) {
    mOnTokens(limit);
  }
}

template<class HostType>
bool QuotaExchange<HostType>::receive(std::string_view aPayload)
{
  if (const std::optional<QuotaReport> report = decodeQuotaReport(aPayload)) {
    const std::optional<QuotaGrant> grant = mCoordinator.onReport(*report, mInstances, mHost.now());
    if (grant && mGossip != nullptr) {
      mGossip->sendPayload(report->mSender, encodeQuotaGrant(*grant));
    }
    return true;
  }
  if (const std::optional<QuotaGrant> grant = decodeQuotaGrant(aPayload)) {
    onGrant(*grant);
    return true;
  }
  return false;
}

} // namespace bulrushrun
