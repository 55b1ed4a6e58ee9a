#pragma once

#include "bulrushrun/quotas/QuotaExchange.h"
#include "bulrushrun/quotas/QuotaMetrics.h"
#include "bulrushrun/quotas/WaitingRequests.h"

#include <array>
#include <cstdio>
#include <unordered_map>

namespace bulrushrun {

/// \brief A request that asks for admission within its customer's quota.
struct QuotaRequest
{
  RequestId mId;
  /// 0 is the highest.
  int mPriority = 0;
  Duration mLatencyTarget{ 0 };
  TimePoint mDeadline;
};

/// \brief Decision on a request, and for a refused one the time at which capacity is expected.
struct QuotaAnswer
{
  QuotaDecision mDecision = QuotaDecision::Admitted;
  Duration mRetryAfter{ 0 };
};

/// \brief Admits requests of customers within their quotas, and holds those whose token may come
/// soon. Does nothing while no customer has a quota.
template<class HostType>
class QuotaGate
{
public:
  /// Runs for a request that has waited, when it is admitted or refused.
  using OnDecision = std::function<void(RequestId, const QuotaAnswer&)>;

  QuotaGate(HostType& aHost, InstanceId aSelf, const Endpoint& aPeer)
    : mHost(aHost)
    , mSelf(std::move(aSelf))
    , mPeer(aPeer)
  {
  }

  void setOnDecision(OnDecision aOnDecision) { mOnDecision = std::move(aOnDecision); }
  void setBounds(const QuotaBounds& aBounds);
  /// \brief Takes the customers of the configuration in force; nullptr for none.
  void setCustomers(const CustomerDirectory* aCustomers);
  /// \copydoc QuotaExchange::setMembers
  void setMembers(Gossip<HostType>& aGossip, std::size_t aInstances, TimePoint aAccruesFrom);
  /// \brief Handles a message. \returns false when it is none of this protocol
  bool receive(std::string_view aPayload) { return mExchange && mExchange->receive(aPayload); }

  /// \brief Decides on a new request. One that waits is decided on by the callback.
  QuotaAnswer admit(const CustomerName& aCustomer, const QuotaRequest& aRequest);
  /// \brief Takes a token for a further attempt. \returns false when there is none
  bool takeForRepeat(const CustomerName& aCustomer);
  /// \brief Returns the token of a request that was not executed. \param aTakenAt  when it was
  /// taken
  void giveBack(const CustomerName& aCustomer, TimePoint aTakenAt);
  /// \brief Forgets a request that waits, without a callback.
  void cancel(RequestId aRequest);
  /// \brief \returns the requests that wait.
  const std::vector<WaitingRequest>& waiting() const { return mWaiting.all(); }
  /// \brief Appends all metrics in Prometheus text format; nothing without quotas.
  void render(std::string& aText);

private:
  static constexpr Duration kMaxHold = std::chrono::milliseconds(300);
  static constexpr int kHoldTargetShare = 8;
  /// Round trips to the coordinator that a request may wait at least. An eighth of a short latency
  /// target is less than a round trip between regions, and the response to a request that is
  /// refused although there are tokens comes later than one that waits for them.
  static constexpr double kHoldRoundTrips = 3;
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(10);
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
  /// Retry-After is prolonged by a random part of up to this, so that callers do not return
  /// together.
  static constexpr double kRetrySpread = 0.5;
  static constexpr Duration kLogPeriod = std::chrono::seconds(10);

  std::optional<LimitId> limitOf(const CustomerName& aCustomer) const
  {
    return mExchange ? mLimits->idOf(aCustomer) : std::nullopt;
  }
  Duration maxHold(const QuotaRequest& aRequest, TimePoint aNow) const;
  QuotaAnswer refuse(LimitId aLimit, TimePoint aNow);
  void serve(LimitId aLimit);
  void check();
  void decide(const WaitingRequest& aRequest, const QuotaAnswer& aAnswer);

  HostType& mHost;
  InstanceId mSelf;
  Endpoint mPeer;
  OnDecision mOnDecision;
  QuotaBounds mBounds;
  std::shared_ptr<const QuotaLimits> mLimits = std::make_shared<const QuotaLimits>();
  std::unique_ptr<QuotaExchange<HostType>> mExchange;
  /// Last known members, for an exchange that begins later.
  std::function<void()> mApplyMembers;
  WaitingRequests mWaiting;
  bool mCheckScheduled = false;
  /// By limit id: when a refusal was last logged.
  std::unordered_map<std::uint64_t, TimePoint> mLoggedAt;
  QuotaRefusals mRefusals;
};

template<class HostType>
void QuotaGate<HostType>::setBounds(const QuotaBounds& aBounds)
{
  mBounds = aBounds;
  if (mExchange) {
    mExchange->setBounds(aBounds);
  }
}

template<class HostType>
void QuotaGate<HostType>::setCustomers(const CustomerDirectory* aCustomers)
{
  std::shared_ptr<const QuotaLimits> limits = std::make_shared<const QuotaLimits>(
    aCustomers == nullptr ? std::vector<Customer>{} : aCustomers->customers());
  if (limits->empty() && !mExchange) {
    return;
  }
  mLimits = limits;
  const std::vector<WaitingRequest> held = mWaiting.all();
  if (limits->empty()) {
    mExchange.reset();
  } else {
    if (!mExchange) {
      mExchange = std::make_unique<QuotaExchange<HostType>>(
        mHost, mSelf, mPeer, [this](LimitId aLimit) { serve(aLimit); });
      mExchange->setBounds(mBounds);
      if (mApplyMembers) {
        mApplyMembers();
      }
    }
    mExchange->setLimits(limits);
  }
  mHost.log(events::kQuotasAdopted, "limits=" + std::to_string(limits->size()));
  for (const WaitingRequest& request : held) {
    if (limits->find(request.mLimit) == nullptr) {
      decide(request, {});
    }
  }
}

template<class HostType>
void QuotaGate<HostType>::setMembers(Gossip<HostType>& aGossip,
                                     std::size_t aInstances,
                                     TimePoint aAccruesFrom)
{
  mApplyMembers = [this, &aGossip, aInstances, aAccruesFrom] {
    mExchange->setMembers(aGossip, aInstances, aAccruesFrom);
  };
  if (mExchange) {
    mApplyMembers();
  }
}

template<class HostType>
Duration QuotaGate<HostType>::maxHold(const QuotaRequest& aRequest, TimePoint aNow) const
{
  const Duration roundTrip =
    fromSeconds(kHoldRoundTrips * toSeconds(mExchange->holder().roundTrip()));
  const Duration hold = std::max(aRequest.mLatencyTarget / kHoldTargetShare, roundTrip);
  return std::min({ hold, Duration{ kMaxHold }, aRequest.mDeadline - aNow });
}

template<class HostType>
QuotaAnswer QuotaGate<HostType>::admit(const CustomerName& aCustomer, const QuotaRequest& aRequest)
{
  const std::optional<LimitId> limit = limitOf(aCustomer);
  if (!limit) {
    return {};
  }
  if (!mExchange->hasMembers()) {
    return { QuotaDecision::NotJoined, {} };
  }
  const TimePoint now = mHost.now();
  QuotaHolder& holder = mExchange->holder();
  const Duration hold = maxHold(aRequest, now);
  const QuotaDecision decision = holder.admit(*limit, hold, now);
  if (decision == QuotaDecision::Admitted) {
    return {};
  }
  if (decision == QuotaDecision::Refused || mWaiting.isFull()) {
    return refuse(*limit, now);
  }
  holder.addWaiting(*limit, 1);
  mWaiting.add({ aRequest.mId, *limit, aRequest.mPriority, now, now + hold });
  // The callback for this request would come before the decision is returned.
  const OnDecision onDecision = std::exchange(mOnDecision, {});
  std::optional<QuotaAnswer> answer;
  std::vector<std::pair<RequestId, QuotaAnswer>> others;
  mOnDecision = [&](RequestId aId, const QuotaAnswer& aAnswer) {
    if (aId == aRequest.mId) {
      answer = aAnswer;
    } else {
      others.emplace_back(aId, aAnswer);
    }
  };
  mExchange->requestTokens();
  mOnDecision = onDecision;
  // Their responses may close connections, and with them end the new request.
  for (const auto& [id, other] : others) {
    mHost.after(Duration{ 0 }, [this, id = id, other = other] { mOnDecision(id, other); });
  }
  if (answer) {
    return *answer;
  }
  if (!std::exchange(mCheckScheduled, true)) {
    mHost.after(kCheckPeriod, [this] { check(); });
  }
  return { QuotaDecision::NoToken, {} };
}

template<class HostType>
QuotaAnswer QuotaGate<HostType>::refuse(LimitId aLimit, TimePoint aNow)
{
  const QuotaLimit* limit = mLimits->find(aLimit);
  const Duration expected = std::clamp<Duration>(
    mExchange->holder().nextTokenIn(aLimit, aNow), kMinRetryAfter, kMaxRetryAfter);
  const double spread = 1 + kRetrySpread * mHost.random().unit();
  mRefusals.add(limit->mName);
  const auto [logged, isFirst] = mLoggedAt.try_emplace(aLimit.value(), aNow);
  if (isFirst || aNow - logged->second >= kLogPeriod) {
    logged->second = aNow;
    mHost.log(events::kQuotaExceeded,
              "customer=" + logText(limit->mName) + " per_second=" + std::to_string(limit->mRate) +
                " burst=" + std::to_string(limit->mBurst) +
                " alone=" + std::to_string(mExchange->holder().isAlone() ? 1 : 0));
  }
  return { QuotaDecision::Refused, fromSeconds(toSeconds(expected) * spread) };
}

template<class HostType>
bool QuotaGate<HostType>::takeForRepeat(const CustomerName& aCustomer)
{
  const std::optional<LimitId> limit = limitOf(aCustomer);
  return !limit || mExchange->holder().take(*limit, mHost.now());
}

template<class HostType>
void QuotaGate<HostType>::giveBack(const CustomerName& aCustomer, TimePoint aTakenAt)
{
  if (const std::optional<LimitId> limit = limitOf(aCustomer)) {
    mExchange->holder().giveBack(*limit, aTakenAt, mHost.now());
  }
}

template<class HostType>
void QuotaGate<HostType>::cancel(RequestId aRequest)
{
  const std::optional<WaitingRequest> removed = mWaiting.remove(aRequest);
  if (removed && mExchange) {
    mExchange->holder().addWaiting(removed->mLimit, -1);
  }
}

template<class HostType>
void QuotaGate<HostType>::render(std::string& aText)
{
  if (mExchange) {
    renderQuotaMetrics(aText,
                       mExchange->holder(),
                       mExchange->coordinator(),
                       mRefusals,
                       mWaiting.all().size(),
                       mHost.now());
  }
}

} // namespace bulrushrun

// Definitions of the member functions: requests that wait.
#include "bulrushrun/quotas/QuotaGateWaiting.h"
