#include "soak/InvariantChecker.h"

#include <utility>

namespace bulrushrun::soak {

namespace {

/// Versions go round so many services of probes.
constexpr std::uint64_t kProbeServices = 3;
constexpr std::size_t kShortBytes = 100;

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
    report("a target ran a request that nobody sent: " + aId);
    return;
  }
  ++attempt->mExecutions;
  attempt->mLastTarget = aTarget.setup().mId;
  attempt->mLastService = aTarget.setup().mService;
  if (!attempt->mIdempotent && attempt->mExecutions > 1) {
    report("ran twice: " + aId);
  }
  const auto leaving = mLeaving.find(attempt->mLastTarget);
  const Duration bound = mBounds.mDrain + mBounds.mSlack;
  // The run may have waited in the target's queue since it was sent.
  const bool late = leaving != mLeaving.end() && attempt->mSent > leaving->second + bound;
  if (late && isConnectedAndStable(attempt->mInstance, aNow) &&
      mInstances[attempt->mInstance].wasStableFor(bound, aNow)) {
    report("sent to a leaving target: " + aId + " target=" + attempt->mLastTarget);
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
  checkAnswer(aId, attempt);
  if (attempt.mProbe && attempt.mHead.mStatus == 200) {
    checkProbe(aId, attempt);
  }
  // Large bodies of all attempts would not fit the memory.
  attempt.mBody = {};
}

void InvariantChecker::checkAnswer(const std::string& aId, const Attempt& aAttempt)
{
  const int status = aAttempt.mHead.mStatus;
  if (isRefusalStatus(status) && aAttempt.mExecutions > 0) {
    report("refused as not run, but it ran: " + aId);
  }
  if (status < 200 || status >= 300) {
    return;
  }
  const std::string* signature = findHeader(aAttempt.mHead.mHeaders, "X-Response-Signature");
  const std::size_t bytes =
    aAttempt.mLarge ? standins::RegisteredTargetOptions{}.mLargeBytes : kShortBytes;
  if (signature == nullptr || !signature->ends_with("." + aId)) {
    report("a success without its own signature: " + aId);
  }
  if (aAttempt.mBody != standins::RegisteredTarget::bodyFor(aId, bytes)) {
    report("a success with another body: " + aId);
  }
}

void InvariantChecker::checkProbe(const std::string& aId, const Attempt& aAttempt)
{
  const TimePoint sent = aAttempt.mSent;
  std::uint64_t seen = 0;
  std::uint64_t due = 0;
  for (const auto& [version, when] : mVersions) {
    const std::string service = "probe-" + std::to_string(version % kProbeServices);
    seen = service == aAttempt.mLastService ? version : seen;
    due = sent > when + mBounds.mConfiguration + mBounds.mSlack ? version : due;
  }
  const bool inTouch = isConnectedAndStable(aAttempt.mInstance, sent) &&
                       mInstances[aAttempt.mInstance].wasStableFor(mBounds.mConfiguration, sent);
  const std::string who = " instance=" + std::to_string(aAttempt.mInstance) + " id=" + aId;
  if (inTouch && seen < due) {
    report("version " + std::to_string(seen) + " though " + std::to_string(due) + " is due:" + who);
  }
  Seen& newest = mSeen[aAttempt.mInstance];
  if (seen < newest.mVersion && sent > newest.mWhen + mBounds.mRegression) {
    report("version " + std::to_string(seen) + " behind " + std::to_string(newest.mVersion) + ":" +
           who);
  }
  if (seen > newest.mVersion) {
    newest = { seen, sent };
  }
}

/// A planned stop, a reload or a new configuration cuts no request that was passed on.
void InvariantChecker::checkInterruption(const std::string& aId,
                                         const Attempt& aAttempt,
                                         TimePoint aNow)
{
  const bool undisturbed = mInstances[aAttempt.mInstance].isStable(aNow) && mTargets.isStable(aNow);
  if (undisturbed && aAttempt.mExecutions > 0) {
    report("cut without a cause: " + aId + " instance=" + std::to_string(aAttempt.mInstance));
  }
}

void InvariantChecker::onVersion(std::uint64_t aVersion, TimePoint aNow)
{
  mVersions[aVersion] = aNow;
}

void InvariantChecker::onLeaving(const std::string& aTarget, std::optional<TimePoint> aWhen)
{
  if (aWhen) {
    mLeaving[aTarget] = *aWhen;
  } else {
    mLeaving.erase(aTarget);
  }
}

void InvariantChecker::checkAtEnd()
{
  for (const auto& [id, attempt] : mAttempts) {
    const bool whole = attempt.mEnd == ExchangeResult::Complete;
    if (whole && isRefusalStatus(attempt.mHead.mStatus) && attempt.mExecutions > 0) {
      report("refused as not run, but it ran later: " + id);
    }
  }
}

double InvariantChecker::successShareSince(TimePoint aMoment) const
{
  double sent = 0;
  double served = 0;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mSent >= aMoment && !attempt.mProbe && !attempt.mAbandoned) {
      sent += 1;
      served += attempt.mEnd == ExchangeResult::Complete && attempt.mHead.mStatus == 200 ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : served / sent;
}

std::string InvariantChecker::summary() const
{
  std::map<std::string, int> counts;
  for (const auto& [id, attempt] : mAttempts) {
    std::string kind = "no answer";
    if (attempt.mAbandoned) {
      kind = "given up";
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
