#include "ctl/Trace.h"

#include "bulrushrun/host/EventCatalogue.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushrun {

namespace {

/// Maximum number of other targets' events shown: the newest before the request ended.
constexpr std::size_t kMaxOtherTargetEvents = 6;
/// Events of the targets involved are shown from this long before the request until this long
/// after it. A failed target is noticed at the latest when its registration expires.
constexpr double kSecondsBefore = 10;
constexpr double kSecondsAfter = 6;
/// Staleness of the information about targets that is reported, in milliseconds: twice the usual
/// interval between updates.
constexpr double kStaleMillis = 2000;
constexpr int kUnauthorized = 401;

bool isEvent(const LogLine& aLine, const Event& aEvent)
{
  return aLine.mEvent == aEvent.mNumber;
}

/// \returns the kind of state that the line reports, or an empty string for other lines.
std::string stateKind(const LogLine& aLine)
{
  if (isEvent(aLine, events::kPlanAdopted) || isEvent(aLine, events::kPlanRefused)) {
    return "plan";
  }
  if (isEvent(aLine, events::kZoneEvacuated) || isEvent(aLine, events::kZoneRestored)) {
    return "zone " + aLine.field("zone");
  }
  if (isEvent(aLine, events::kFeedLost) || isEvent(aLine, events::kFeedRegained)) {
    return "feed " + aLine.field("table");
  }
  const bool lifecycle = isEvent(aLine, events::kInstanceStarted) ||
                         isEvent(aLine, events::kInstanceReady) ||
                         isEvent(aLine, events::kDrainStarted);
  return lifecycle ? "life" : "";
}

} // namespace

void Trace::addRequestLine(const LogLine& aLine)
{
  if (aLine.field("id") != mId) {
    return;
  }
  mRequestLines.push_back(aLine);
  mInstances.insert(aLine.mInstance);
  if (!aLine.field("target").empty() && aLine.field("target") != "-") {
    mTargets.insert(aLine.field("target"));
  }
  mService = aLine.field("service").empty() ? mService : aLine.field("service");
}

void Trace::addContextLine(const LogLine& aLine)
{
  if (mRequestLines.empty() || aLine.field("id") == mId) {
    return;
  }
  const std::string& end = mRequestLines.back().mTime;
  const std::string state = stateKind(aLine);
  if (!state.empty() && mInstances.contains(aLine.mInstance) && aLine.mTime <= end) {
    LogLine& kept = mStateLines[aLine.mInstance + " " + state];
    kept = kept.mTime <= aLine.mTime ? aLine : kept;
  }
  const bool aboutTarget = aLine.mEvent >= events::kTargetEjected.mNumber &&
                           aLine.mEvent <= events::kTargetReplaced.mNumber;
  const bool involved = mTargets.contains(aLine.field("target"));
  const bool sameService = mInstances.contains(aLine.mInstance) && !mService.empty() &&
                           aLine.field("service") == mService && aLine.mTime <= end;
  const bool sameInstance = mInstances.contains(aLine.mInstance);
  // Registrations seen by other instances only repeat the same information.
  const bool shown = involved && (sameInstance || !isEvent(aLine, events::kTargetAdded)) &&
                     isWithinContextWindow(aLine);
  if (aboutTarget && (shown || sameService)) {
    mTargetEvents.push_back(aLine);
  }
}

bool Trace::isWithinContextWindow(const LogLine& aLine) const
{
  const double seconds = aLine.seconds();
  return seconds > mRequestLines.front().seconds() - kSecondsBefore &&
         seconds < mRequestLines.back().seconds() + kSecondsAfter;
}

std::vector<Trace::Entry> Trace::timeline() const
{
  std::vector<Entry> entries;
  for (const LogLine& line : mRequestLines) {
    entries.push_back({ line, true });
  }
  for (const auto& [name, line] : mStateLines) {
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
  const std::size_t skipped = others.size() - std::min(others.size(), kMaxOtherTargetEvents);
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
  if (aEnd.number("status") == kUnauthorized) {
    aConclusions.push_back("The key of the request was removed before a target was reached: " +
                           aEnd.field("reason") + ".");
  } else if (aEnd.field("home_regions") == "none") {
    aConclusions.push_back("The route and customer " + aEnd.field("customer") +
                           " have no home region in common.");
  } else if (aEnd.number("sends") > 0) {
    aConclusions.push_back(
      "Every target that received the request reported that it had not executed it.");
  } else if (aEnd.number("usable") == 0) {
    aConclusions.push_back(
      "No target of the service was eligible: none is registered, or all are leaving, "
      "ejected, in an evacuated zone or outside the home regions of the route or the customer.");
  } else if (aEnd.number("cold_limited") > 0) {
    aConclusions.push_back(
      usable + " targets were eligible, but " + aEnd.field("cold_limited") +
      " times a target was skipped because it is cold and this instance's quota of "
      "requests to cold targets was exhausted.");
  } else if (aEnd.number("rate_limited") > 0) {
    aConclusions.push_back(
      usable + " targets were eligible, but " + aEnd.field("rate_limited") +
      " times a target was skipped because it named a limit of requests per second and this "
      "instance's quota of it was exhausted.");
  } else {
    aConclusions.push_back("All " + usable + " eligible targets had full queues.");
  }
}

void Trace::explainEarlyRefusal(const LogLine& aLine, std::vector<std::string>& aConclusions)
{
  aConclusions.push_back(aLine.mInstance + " refused the request with status " +
                         aLine.field("status") +
                         " before a target was chosen: " + aLine.field("reason") + ".");
  if (aLine.number("status") == kUnauthorized) {
    aConclusions.push_back("Version " + aLine.field("version") +
                           " of the configuration, which was in force at the instance, requires "
                           "the key of a customer on route " +
                           aLine.field("route") + ".");
  }
}

std::vector<std::string> Trace::conclusions() const
{
  std::vector<std::string> conclusions;
  const auto lineOf = [this](const Event& aEvent) {
    return std::find_if(mRequestLines.begin(), mRequestLines.end(), [&](const LogLine& aLine) {
      return isEvent(aLine, aEvent);
    });
  };
  const auto end = lineOf(events::kRequestEnded);
  const auto refused = lineOf(events::kRequestRefused);
  if (end == mRequestLines.end() && refused != mRequestLines.end()) {
    explainEarlyRefusal(*refused, conclusions);
    return conclusions;
  }
  if (end == mRequestLines.end()) {
    conclusions.push_back(
      "No log line records the end of the request: it is in progress, its instance "
      "terminated, or the line was dropped (see 'lines left out').");
    return conclusions;
  }
  const std::string outcome = end->field("outcome");
  conclusions.push_back(end->mInstance + " ended the request as '" + outcome + "' with status " +
                        end->field("status") + " after " + end->field("ms") + " ms; " +
                        end->field("sends") + " attempts reached a target.");
  if (outcome == "refused") {
    explainRefusal(*end, conclusions);
  } else if (outcome == "failed") {
    conclusions.push_back(
      "A target may have executed the request, but no complete response was received: " +
      end->field("reason") + ".");
  } else if (outcome == "answered" && end->number("place") > 1) {
    conclusions.push_back(
      "The target was not the primary target of the affinity key (preference rank " +
      end->field("place") + "): it had to warm up for this key, which takes longer.");
  }
  for (const LogLine& line : mRequestLines) {
    if (isEvent(line, events::kSendFailed)) {
      conclusions.push_back("An attempt at " + line.field("target") + " failed after " +
                            line.field("ms") + " ms: " + line.field("reason") + ".");
    } else if (isEvent(line, events::kTargetSilent)) {
      const std::string next = line.field("next");
      conclusions.push_back(line.field("target") + " had not responded after " + line.field("ms") +
                            " ms; the request stayed there, and " +
                            (next == "-" ? "no further target got it: " + line.field("reason")
                                         : next + " got it, too") +
                            ".");
    }
  }
  if (end->number("news_age_ms") > kStaleMillis) {
    conclusions.push_back("The information about targets was " + end->field("news_age_ms") +
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
    text += (entry.mOfRequest ? "* " : "  ") + entry.mLine.mTime + " " + entry.mLine.mInstance +
            " " + entry.mLine.mText + "\n";
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
                      { "of_request", entry.mOfRequest },
                      { "fields", entry.mLine.mFields } });
  }
  return nlohmann::json{ { "id", mId }, { "conclusions", conclusions() }, { "lines", lines } }.dump(
           2) +
         "\n";
}

} // namespace bulrushrun
