#include "bulrushrun/routing/ServicePool.h"

#include <cmath>
#include <utility>

namespace bulrushrun {

namespace {

Duration blend(Duration aOld, Duration aNew)
{
  return aOld == Duration{ 0 } ? aNew : (15 * aOld + aNew) / 16;
}

} // namespace

void ServicePool::setTargets(const std::vector<TargetSpec>& aTargets, bool aCold, TimePoint aNow)
{
  std::map<TargetId, PooledTarget> kept;
  for (const TargetSpec& spec : aTargets) {
    for (std::map<TargetId, PooledTarget>* old : { &mTargets, &mDropped }) {
      const auto found = old->find(spec.mId);
      if (found != old->end()) {
        found->second.setSpec(spec);
        kept.insert(old->extract(found));
      }
    }
    const auto [entry, added] = kept.try_emplace(spec.mId, spec, aCold);
    if (added) {
      entry->second.awaitHealthCheck(aNow, aNow + kHoldLimit);
    }
  }
  std::swap(mTargets, kept);
  for (auto old = kept.begin(); old != kept.end(); ++old) {
    if (old->second.inUse() > 0) {
      mDropped.insert_or_assign(old->first, std::move(old->second));
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
    target.awaitHealthCheck(aNow + aAtLeast, aNow + kHoldLimit);
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

Duration ServicePool::answerTime(const ClassName& aClass) const
{
  const auto found = mAnswerTimes.find(aClass);
  return found == mAnswerTimes.end() ? Duration{ 0 } : found->second;
}

Duration ServicePool::expectedWait(const QueuedRequest& aEntry, TimePoint aNow) const
{
  const int slots = usableSlots(aNow);
  if (slots == 0) {
    return Duration::max();
  }
  const auto behind = mQueue.upper_bound(aEntry);
  const std::int64_t ahead = std::distance(mQueue.begin(), behind);
  const std::int64_t excess = ahead + inUse() - slots + 1;
  return excess <= 0 ? Duration{ 0 } : mMeanAnswerTime * excess / slots;
}

bool ServicePool::canServe(const QueuedRequest& aEntry, TimePoint aNow) const
{
  const Duration wait = expectedWait(aEntry, aNow);
  if (wait == Duration::max()) {
    return false;
  }
  return aNow + wait + answerTime(aEntry.mClass) <= aEntry.mDeadline;
}

bool ServicePool::isClassFull(const QueuedRequest& aEntry, TimePoint aNow) const
{
  const auto use = mClassUse.find(aEntry.mClass);
  if (use == mClassUse.end() || aEntry.mSlotShare >= 1) {
    return false;
  }
  return use->second >= std::ceil(aEntry.mSlotShare * usableSlots(aNow));
}

PooledTarget* ServicePool::choose(const QueuedRequest& aEntry, TimePoint aNow)
{
  PooledTarget* best = nullptr;
  for (auto& [id, target] : mTargets) {
    if (!target.hasRoom(aNow)) {
      continue;
    }
    const bool avoided = id == aEntry.mAvoidedTarget;
    const bool bestAvoided = best != nullptr && best->spec().mId == aEntry.mAvoidedTarget;
    const bool better = best == nullptr || std::tuple(avoided, target.answerTime()) <
                                             std::tuple(bestAvoided, best->answerTime());
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
    ++mClassUse[entry->mClass];
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
                                   SlotRelease aHow,
                                   Duration aElapsed,
                                   TimePoint aNow)
{
  --mClassUse[aClass];
  const auto owned = mTargets.find(aTarget);
  const auto dropped = mDropped.find(aTarget);
  if (owned == mTargets.end()) {
    if (dropped != mDropped.end()) {
      dropped->second.onCancelled();
      if (dropped->second.inUse() == 0) {
        mDropped.erase(dropped);
      }
    }
    return ReleaseEffect::None;
  }
  PooledTarget& target = owned->second;
  switch (aHow) {
    case SlotRelease::Answered:
      mMeanAnswerTime = blend(mMeanAnswerTime, aElapsed);
      mAnswerTimes[aClass] = blend(mAnswerTimes[aClass], aElapsed);
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
