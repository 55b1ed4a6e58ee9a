#include "ctl/Trace.h"

#include "bulrushrun/host/EventCatalogue.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushrun {

namespace {

/// Registrations of a service's targets that are shown: the newest before the request ended.
constexpr std::size_t kShownRegistrations = 6;
/// News of the targets involved is shown from so long before the request to so long behind it: what
/// became of a target shows within the time after which its registration lapses.
constexpr double kSecondsBefore = 10;
constexpr double kSecondsAfter = 6;
/// Knowledge of targets older than this is worth a word, in milliseconds: twice the usual pause.
constexpr double kOldNewsMillis = 2000;

bool is(const LogLine& aLine, const Event& aEvent)
{
  return aLine.mEvent == aEvent.mNumber;
}

/// \returns the name under which the newest line of this kind of state is kept; empty for others.
std::string stateOf(const LogLine& aLine)
{
  if (is(aLine, events::kPlanAdopted) || is(aLine, events::kPlanRefused)) {
    return "plan";
  }
  if (is(aLine, events::kZoneEvacuated) || is(aLine, events::kZoneRestored)) {
    return "zone " + aLine.field("zone");
  }
  if (is(aLine, events::kFeedLost) || is(aLine, events::kFeedRegained)) {
    return "feed " + aLine.field("table");
  }
  const bool life = is(aLine, events::kInstanceStarted) || is(aLine, events::kInstanceReady) ||
                    is(aLine, events::kDrainStarted);
  return life ? "life" : "";
}

} // namespace

void Trace::addRequestLine(const LogLine& aLine)
{
  if (aLine.field("id") != mId) {
    return;
  }
  mOwn.push_back(aLine);
  mInstances.insert(aLine.mInstance);
  if (!aLine.field("target").empty() && aLine.field("target") != "-") {
    mTargets.insert(aLine.field("target"));
  }
  mService = aLine.field("service").empty() ? mService : aLine.field("service");
}

void Trace::addContextLine(const LogLine& aLine)
{
  if (mOwn.empty() || aLine.field("id") == mId) {
    return;
  }
  const std::string& end = mOwn.back().mTime;
  const std::string state = stateOf(aLine);
  if (!state.empty() && mInstances.contains(aLine.mInstance) && aLine.mTime <= end) {
    LogLine& kept = mState[aLine.mInstance + " " + state];
    kept = kept.mTime <= aLine.mTime ? aLine : kept;
  }
  const bool aboutTarget = aLine.mEvent >= events::kTargetEjected.mNumber &&
                           aLine.mEvent <= events::kTargetReplaced.mNumber;
  const bool involved = mTargets.contains(aLine.field("target"));
  const bool sameService = mInstances.contains(aLine.mInstance) && !mService.empty() &&
                           aLine.field("service") == mService && aLine.mTime <= end;
  const bool own = mInstances.contains(aLine.mInstance);
  // How often a registration was seen by others does not matter.
  const bool shown =
    involved && (own || !is(aLine, events::kTargetAdded)) && isWithinContextWindow(aLine);
  if (aboutTarget && (shown || sameService)) {
    mTargetEvents.push_back(aLine);
  }
}

bool Trace::isWithinContextWindow(const LogLine& aLine) const
{
  const double seconds = aLine.seconds();
  return seconds > mOwn.front().seconds() - kSecondsBefore &&
         seconds < mOwn.back().seconds() + kSecondsAfter;
}

std::vector<Trace::Entry> Trace::timeline() const
{
  std::vector<Entry> entries;
  for (const LogLine& line : mOwn) {
    entries.push_back({ line, true });
  }
  for (const auto& [name, line] : mState) {
    entries.push_back({ line, false });
  }
  std::vector<LogLine> others;
  for (const LogLine& line : mTargetEvents) {
    if (mTargets.contains(line.field("target"))) {
      entries.push_back({ line, false });
    } else {
      others.push_back(line);
    }
  }
  const std::size_t skipped = others.size() - std::min(others.size(), kShownRegistrations);
  for (std::size_t i = skipped; i < others.size(); ++i) {
    entries.push_back({ others[i], false });
  }
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& aLeft, const Entry& aRight) {
    return aLeft.mLine.mTime < aRight.mLine.mTime;
  });
  return entries;
}

void Trace::explainRefusal(const LogLine& aEnd, std::vector<std::string>& aConclusions) const
{
  const std::string usable = aEnd.field("usable");
  if (aEnd.number("sends") > 0) {
    aConclusions.push_back("Every target that it was sent to declared that it did not run it.");
  } else if (aEnd.number("usable") == 0) {
    aConclusions.push_back(
      "No target of the service could be chosen: none is registered, or all leave, are "
      "ejected, or lie in an evacuated zone or outside the route's homes.");
  } else if (aEnd.number("cold_limited") > 0) {
    aConclusions.push_back(
      usable + " targets could be chosen, but " + aEnd.field("cold_limited") +
      " times one was passed over because it is cold and this instance's share of "
      "what cold targets may get was used up.");
  } else {
    aConclusions.push_back("All " + usable +
                           " targets that could be chosen had as much work as they queue.");
  }
}

std::vector<std::string> Trace::conclusions() const
{
  std::vector<std::string> conclusions;
  const auto end = std::find_if(mOwn.begin(), mOwn.end(), [](const LogLine& aLine) {
    return is(aLine, events::kRequestEnded);
  });
  if (end == mOwn.end()) {
    conclusions.push_back(
      "No line tells how it ended: it is in progress, its instance died, or the line was left "
      "out (see 'lines left out').");
    return conclusions;
  }
  const std::string outcome = end->field("outcome");
  conclusions.push_back(end->mInstance + " ended it as '" + outcome + "' with status " +
                        end->field("status") + " after " + end->field("ms") + " ms; " +
                        end->field("sends") + " sends reached a target.");
  if (outcome == "refused") {
    explainRefusal(*end, conclusions);
  } else if (outcome == "failed") {
    conclusions.push_back(
      "A target may have run it, and no whole answer came: " + end->field("reason") + ".");
  } else if (outcome == "answered" && end->number("place") > 1) {
    conclusions.push_back("The target was not the object's home (place " + end->field("place") +
                          "): it had to warm up for the object, which takes longer.");
  }
  for (const LogLine& line : mOwn) {
    if (is(line, events::kSendFailed)) {
      conclusions.push_back("A send to " + line.field("target") + " ended after " +
                            line.field("ms") + " ms: " + line.field("reason") + ".");
    }
  }
  if (end->number("news_age_ms") > kOldNewsMillis) {
    conclusions.push_back("What was known of the targets was " + end->field("news_age_ms") +
                          " ms old: the store or the peers could not be reached.");
  }
  return conclusions;
}

std::string Trace::text() const
{
  std::string text;
  for (const std::string& conclusion : conclusions()) {
    text += conclusion + "\n";
  }
  text += "\n";
  for (const Entry& entry : timeline()) {
    text += (entry.mOwn ? "* " : "  ") + entry.mLine.mTime + " " + entry.mLine.mInstance + " " +
            entry.mLine.mText + "\n";
  }
  return text;
}

std::string Trace::json() const
{
  nlohmann::json lines = nlohmann::json::array();
  for (const Entry& entry : timeline()) {
    lines.push_back({ { "time", entry.mLine.mTime },
                      { "instance", entry.mLine.mInstance },
                      { "event", entry.mLine.mEvent },
                      { "name", entry.mLine.mName },
                      { "of_request", entry.mOwn },
                      { "fields", entry.mLine.mFields } });
  }
  return nlohmann::json{ { "id", mId }, { "conclusions", conclusions() }, { "lines", lines } }.dump(
           2) +
         "\n";
}

} // namespace bulrushrun
