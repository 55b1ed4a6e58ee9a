#include "bulrushrun/routing/ServicePool.h"

#include <cmath>
#include <utility>

namespace bulrushrun {

namespace {

/// \returns the exponentially weighted moving average with a weight of 1/16 for the new value.
Duration movingAverage(Duration aOld, Duration aNew)
{
  return aOld == Duration{ 0 } ? aNew : (15 * aOld + aNew) / 16;
}

} // namespace

void ServicePool::setTargets(const std::vector<TargetSpec>& aTargets, bool aCold, TimePoint aNow)
{
  std::map<TargetId, PooledTarget> kept;
  for (const TargetSpec& spec : aTargets) {
    for (std::map<TargetId, PooledTarget>* old : { &mTargets, &mRemovedTargets }) {
      const auto found = old->find(spec.mId);
      if (found != old->end()) {
        found->second.setSpec(spec);
        kept.insert(old->extract(found));
      }
    }
    const auto [entry, added] = kept.try_emplace(spec.mId, spec, aCold);
    if (added) {
      entry->second.awaitHealthCheck(aNow, aNow + kMaxHealthCheckWait);
    }
  }
  std::swap(mTargets, kept);
  for (auto old = kept.begin(); old != kept.end(); ++old) {
    if (old->second.inUse() > 0) {
      mRemovedTargets.insert_or_assign(old->first, std::move(old->second));
    }
  }
}

bool ServicePool::onHealthChecked(const TargetId& aTarget)
{
  const auto found = mTargets.find(aTarget);
  return found != mTargets.end() && found->second.onHealthChecked();
}

void ServicePool::awaitHealthChecks(Duration aAtLeast, TimePoint aNow)
{
  for (auto& [id, target] : mTargets) {
    target.awaitHealthCheck(aNow + aAtLeast, aNow + kMaxHealthCheckWait);
  }
}

void ServicePool::setLeaving(const TargetId& aTarget, bool aLeaving)
{
  const auto found = mTargets.find(aTarget);
  if (found != mTargets.end()) {
    found->second.setLeaving(aLeaving);
  }
}

bool ServicePool::isUsable(TimePoint aNow) const
{
  return usableSlots(aNow) > 0;
}

int ServicePool::usableSlots(TimePoint aNow) const
{
  int slots = 0;
  for (const auto& [id, target] : mTargets) {
    if (!target.isLeaving() && !target.isEjected(aNow)) {
      slots += target.limit();
    }
  }
  return slots;
}

int ServicePool::inUse() const
{
  int used = 0;
  for (const auto& [id, target] : mTargets) {
    used += target.inUse();
  }
  return used;
}

Duration ServicePool::responseTime(const ClassName& aClass) const
{
  const auto found = mResponseTimesByClass.find(aClass);
  return found == mResponseTimesByClass.end() ? Duration{ 0 } : found->second;
}

Duration ServicePool::expectedWait(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const int slots = usableSlots(aNow);
  if (slots == 0) {
    return Duration::max();
  }
  const auto position = mQueue.upper_bound(aRequest);
  const std::int64_t ahead = std::distance(mQueue.begin(), position);
  const std::int64_t excess = ahead + inUse() - slots + 1;
  return excess <= 0 ? Duration{ 0 } : mMeanResponseTime * excess / slots;
}

bool ServicePool::canServe(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const Duration wait = expectedWait(aRequest, aNow);
  if (wait == Duration::max()) {
    return false;
  }
  return aNow + wait + responseTime(aRequest.mClass) <= aRequest.mDeadline;
}

bool ServicePool::isClassFull(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const auto use = mSlotsInUseByClass.find(aRequest.mClass);
  if (use == mSlotsInUseByClass.end() || aRequest.mSlotShare >= 1) {
    return false;
  }
  return use->second >= std::ceil(aRequest.mSlotShare * usableSlots(aNow));
}

PooledTarget* ServicePool::choose(const QueuedRequest& aRequest, TimePoint aNow)
{
  PooledTarget* best = nullptr;
  for (auto& [id, target] : mTargets) {
    if (!target.hasRoom(aNow)) {
      continue;
    }
    const bool avoided = id == aRequest.mAvoidedTarget;
    const bool bestAvoided = best != nullptr && best->spec().mId == aRequest.mAvoidedTarget;
    const bool better = best == nullptr || std::tuple(avoided, target.responseTime()) <
                                             std::tuple(bestAvoided, best->responseTime());
    if (better) {
      best = &target;
    }
  }
  return best;
}

std::optional<Dispatch> ServicePool::next(TimePoint aNow)
{
  for (auto entry = mQueue.begin(); entry != mQueue.end(); ++entry) {
    if (isClassFull(*entry, aNow)) {
      continue;
    }
    PooledTarget* target = choose(*entry, aNow);
    if (target == nullptr) {
      return std::nullopt;
    }
    target->acquireSlot();
    ++mSlotsInUseByClass[entry->mClass];
    const Dispatch dispatch{ entry->mId, target->spec() };
    mQueue.erase(entry);
    return dispatch;
  }
  return std::nullopt;
}

bool ServicePool::mayEject(TimePoint aNow) const
{
  std::size_t ejected = 0;
  for (const auto& [id, target] : mTargets) {
    ejected += target.isEjected(aNow) ? 1U : 0U;
  }
  const double allowed = std::floor(mEjectionCap * static_cast<double>(mTargets.size()));
  return static_cast<double>(ejected) < std::max(1.0, allowed) && mTargets.size() > 1;
}

ReleaseEffect ServicePool::release(const TargetId& aTarget,
                                   const ClassName& aClass,
                                   SlotRelease aResult,
                                   Duration aElapsed,
                                   TimePoint aNow)
{
  --mSlotsInUseByClass[aClass];
  const auto owned = mTargets.find(aTarget);
  const auto removed = mRemovedTargets.find(aTarget);
  if (owned == mTargets.end()) {
    if (removed != mRemovedTargets.end()) {
      removed->second.onCancelled();
      if (removed->second.inUse() == 0) {
        mRemovedTargets.erase(removed);
      }
    }
    return ReleaseEffect::None;
  }
  PooledTarget& target = owned->second;
  switch (aResult) {
    case SlotRelease::Answered:
      mMeanResponseTime = movingAverage(mMeanResponseTime, aElapsed);
      mResponseTimesByClass[aClass] = movingAverage(mResponseTimesByClass[aClass], aElapsed);
      return target.onAnswer(aElapsed) ? ReleaseEffect::Recovered : ReleaseEffect::None;
    case SlotRelease::Declined:
      target.onDeclined(aNow);
      return ReleaseEffect::None;
    case SlotRelease::Cancelled:
      target.onCancelled();
      return ReleaseEffect::None;
    case SlotRelease::Failed:
      break;
  }
  const bool ejecting = target.onFailure() && mayEject(aNow);
  if (ejecting) {
    target.eject(aNow);
  }
  return ejecting ? ReleaseEffect::Ejected : ReleaseEffect::None;
}

} // namespace bulrushrun
