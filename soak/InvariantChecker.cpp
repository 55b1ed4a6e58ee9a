#include "soak/InvariantChecker.h"

#include <utility>

namespace bulrushrun::soak {

namespace {

/// Number of probe services; successive configuration versions use them in turn.
constexpr std::uint64_t kProbeServices = 3;
constexpr std::size_t kShortBodyBytes = 100;
/// Higher statuses are of the instance, which may have no answer of the target.
constexpr int kServerError = 500;

bool isRefusalStatus(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

Attempt* InvariantChecker::find(const std::string& aId)
{
  const auto found = mAttempts.find(aId);
  return found == mAttempts.end() ? nullptr : &found->second;
}

void InvariantChecker::onSent(const std::string& aId, Attempt aAttempt)
{
  mAttempts.emplace(aId, std::move(aAttempt));
}

void InvariantChecker::onExecution(const std::string& aId,
                                   const standins::RegisteredTarget& aTarget,
                                   TimePoint aNow)
{
  Attempt* attempt = find(aId);
  if (attempt == nullptr) {
    report("target executed an unknown request: " + aId);
    return;
  }
  ++attempt->mExecutions;
  attempt->mLastTarget = aTarget.setup().mId;
  attempt->mLastService = aTarget.setup().mService;
  if (!attempt->mIdempotent && attempt->mExecutions > 1) {
    report("non-idempotent request executed more than once: " + aId);
  }
  const auto leaving = mLeavingTargets.find(attempt->mLastTarget);
  const Duration bound = mBounds.mDrain + mBounds.mSlack;
  // The request may have waited in the target's queue since it was sent.
  const bool isLate = leaving != mLeavingTargets.end() && attempt->mSent > leaving->second + bound;
  if (isLate && isConnectedAndStable(attempt->mInstance, aNow) &&
      mInstances[attempt->mInstance].wasStableFor(bound, aNow) &&
      mRestarts[attempt->mInstance].wasStableFor(bound, aNow)) {
    report("request sent to a leaving target: " + aId + " target=" + attempt->mLastTarget);
  }
  attempt->mTargetLeaving = aTarget.isLeaving();
  if (mInstances[attempt->mInstance].isStable(aNow) &&
      mWishes.isLateForLeaving(attempt->mInstance, attempt->mLastTarget, attempt->mSent, bound)) {
    report("request sent to a target whose answer to the instance said that it is leaving: " + aId +
           " instance=" + std::to_string(attempt->mInstance) + " target=" + attempt->mLastTarget);
  }
}

void InvariantChecker::onArrival(const std::string& aId,
                                 const standins::RegisteredTarget& aTarget,
                                 TimePoint aNow)
{
  const Attempt* attempt = find(aId);
  const std::string& target = aTarget.setup().mId;
  // The answer, or requests sent before it, may be held up on a disturbed link.
  if (attempt != nullptr && mWishes.exceedsRest(attempt->mInstance, target, aNow) &&
      mInstances[attempt->mInstance].isStable(aNow) && mLinks[target].isStable(aNow)) {
    report("more than two requests to a target that asked for rest: " + aId +
           " instance=" + std::to_string(attempt->mInstance) + " target=" + target);
  }
}

void InvariantChecker::onRest(const std::string& aId,
                              const standins::RegisteredTarget& aTarget,
                              Duration aTime,
                              TimePoint aNow)
{
  if (const Attempt* attempt = find(aId)) {
    mWishes.onRest(attempt->mInstance, aTarget.setup().mId, aTime, aNow);
  }
}

void InvariantChecker::onEnded(const std::string& aId, TimePoint aNow)
{
  Attempt& attempt = *find(aId);
  if (attempt.mAbandoned) {
    return;
  }
  if (attempt.mEnd != ExchangeResult::Complete) {
    checkInterruption(aId, attempt, aNow);
    return;
  }
  checkResponse(aId, attempt);
  checkKeyResponse(aId, attempt);
  checkPlannedStop(aId, attempt, aNow);
  if (attempt.mTargetLeaving && !isRefusalStatus(attempt.mHead.mStatus) &&
      attempt.mHead.mStatus <= kServerError) {
    mWishes.onLeavingAnswer(attempt.mInstance, attempt.mLastTarget, attempt.mSent, aNow);
  }
  if (attempt.mProbe && attempt.mHead.mStatus == 200) {
    checkProbe(aId, attempt);
  }
  // The large bodies of all requests would not fit into memory.
  attempt.mBody = {};
}

void InvariantChecker::checkResponse(const std::string& aId, const Attempt& aAttempt)
{
  const int status = aAttempt.mHead.mStatus;
  if (isRefusalStatus(status) && aAttempt.mExecutions > 0) {
    report("refused as not executed, but it was executed: " + aId);
  }
  if (status < 200 || status >= 300) {
    return;
  }
  const std::string* signature = findHeader(aAttempt.mHead.mHeaders, "X-Response-Signature");
  const std::size_t bytes =
    aAttempt.mLarge ? standins::RegisteredTargetOptions{}.mLargeResponseBytes : kShortBodyBytes;
  if (signature == nullptr || !signature->ends_with("." + aId)) {
    report("successful response without the signature of its request: " + aId);
  }
  if (aAttempt.mBody != standins::RegisteredTarget::responseBody(aId, bytes)) {
    report("successful response with a wrong body: " + aId);
  }
}

void InvariantChecker::checkProbe(const std::string& aId, const Attempt& aAttempt)
{
  const TimePoint sent = aAttempt.mSent;
  std::uint64_t observed = 0;
  std::uint64_t due = 0;
  for (const auto& [version, when] : mVersions) {
    const std::string service = "probe-" + std::to_string(version % kProbeServices);
    observed = service == aAttempt.mLastService ? version : observed;
    due = sent > when + mBounds.mConfiguration + mBounds.mSlack ? version : due;
  }
  const bool isConnected =
    isConnectedAndStable(aAttempt.mInstance, sent) &&
    mInstances[aAttempt.mInstance].wasStableFor(mBounds.mConfiguration, sent) &&
    mRestarts[aAttempt.mInstance].wasStableFor(mBounds.mConfiguration, sent);
  const std::string details = " instance=" + std::to_string(aAttempt.mInstance) + " id=" + aId;
  if (isConnected && observed < due) {
    report("configuration version " + std::to_string(observed) + " is in force although " +
           std::to_string(due) + " is due:" + details);
  }
  ObservedVersion& newest = mObservedVersions[aAttempt.mInstance];
  if (observed < newest.mVersion && sent > newest.mObservedAt + mBounds.mRegression) {
    report("configuration version went back to " + std::to_string(observed) + " from " +
           std::to_string(newest.mVersion) + ":" + details);
  }
  if (observed > newest.mVersion) {
    newest = { observed, sent };
  }
}

/// An instance that stops by plan must not end a request in place of the target that executes it,
/// but for one from before the stop that is still executed near the end of the grace.
void InvariantChecker::checkPlannedStop(const std::string& aId,
                                        const Attempt& aAttempt,
                                        TimePoint aNow)
{
  const std::optional<TimePoint> begun = mStopsBegun[aAttempt.mInstance];
  const bool isOwnFailure = aAttempt.mHead.mStatus >= 500 && aAttempt.mExecutions > 0 &&
                            findHeader(aAttempt.mHead.mHeaders, "X-Response-Signature") == nullptr;
  const Duration age = aNow - aAttempt.mSent;
  if (!begun || !isOwnFailure || age + mBounds.mSlack >= aAttempt.mTimeLimit) {
    return;
  }
  const bool isUndisturbed =
    mInstances[aAttempt.mInstance].wasStableFor(age, aNow) && mTargets.wasStableFor(age, aNow);
  const bool isExcused = aAttempt.mSent < *begun && aNow >= *begun + mBounds.mGrace * 5 / 6;
  if (isUndisturbed && !isExcused) {
    report("request broken off in a planned stop while a target executed it: " + aId +
           " instance=" + std::to_string(aAttempt.mInstance) + " sent " +
           std::to_string(toMillis(aAttempt.mSent - *begun)) + " ms after the stop began");
  }
}

/// A graceful shutdown, a reload or a new configuration must not interrupt a request that was
/// forwarded to a target.
void InvariantChecker::checkInterruption(const std::string& aId,
                                         const Attempt& aAttempt,
                                         TimePoint aNow)
{
  const bool isUndisturbed =
    mInstances[aAttempt.mInstance].isStable(aNow) && mTargets.isStable(aNow);
  if (isUndisturbed && aAttempt.mExecutions > 0) {
    report("request interrupted without an injected fault: " + aId +
           " instance=" + std::to_string(aAttempt.mInstance));
  }
}

void InvariantChecker::onVersion(std::uint64_t aVersion, TimePoint aNow)
{
  mVersions[aVersion] = aNow;
}

void InvariantChecker::onLeaving(const std::string& aTarget, std::optional<TimePoint> aWhen)
{
  if (aWhen) {
    mLeavingTargets[aTarget] = *aWhen;
  } else {
    mLeavingTargets.erase(aTarget);
  }
}

void InvariantChecker::checkAtEnd()
{
  for (const auto& [id, attempt] : mAttempts) {
    const bool isComplete = attempt.mEnd == ExchangeResult::Complete;
    if (isComplete && isRefusalStatus(attempt.mHead.mStatus) && attempt.mExecutions > 0) {
      report("refused as not executed, but it was executed later: " + id);
    }
  }
}

double InvariantChecker::successShareSince(TimePoint aStart) const
{
  double sent = 0;
  double succeeded = 0;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mSent >= aStart && !attempt.mProbe && !attempt.mAbandoned &&
        attempt.mKey.isPermanent()) {
      sent += 1;
      succeeded += attempt.mEnd == ExchangeResult::Complete && attempt.mHead.mStatus == 200 ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : succeeded / sent;
}

std::string InvariantChecker::summary() const
{
  std::map<std::string, int> counts;
  for (const auto& [id, attempt] : mAttempts) {
    std::string kind = "no response";
    if (attempt.mAbandoned) {
      kind = "abandoned";
    } else if (attempt.mEnd == ExchangeResult::Complete) {
      kind = std::to_string(attempt.mHead.mStatus);
    }
    ++counts[kind];
  }
  std::string text = "attempts " + std::to_string(mAttempts.size());
  for (const auto& [kind, count] : counts) {
    text += ", " + kind + ": " + std::to_string(count);
  }
  return text;
}

} // namespace bulrushrun::soak
