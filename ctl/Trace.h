#pragma once

#include "ctl/LogLine.h"

#include <set>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief What the logs of all instances say of one request: its own lines, the beliefs that
/// decided it, and what they amount to.
///
/// \code
/// Trace trace{ "9c41d07be2a35f68" };
/// for (line of all logs) { trace.addRequestLine(line); }
/// for (line of all logs) { trace.addContextLine(line); }
/// print(trace.text());
/// \endcode
class Trace
{
public:
  explicit Trace(std::string aId)
    : mId(std::move(aId))
  {
  }

  /// \brief Takes a line if it names the request. All lines pass here first.
  void addRequestLine(const LogLine& aLine);
  /// \brief Takes a line if it tells what was believed when the request was decided: the
  /// configuration and the store as the same instance knew them, and the targets involved as all
  /// instances knew them.
  void addContextLine(const LogLine& aLine);

  /// \brief \returns false when no line named the request.
  bool isFound() const { return !mOwn.empty(); }
  /// \brief \returns what happened, a sentence each.
  std::vector<std::string> conclusions() const;
  /// \brief \returns conclusions and timeline as text; own lines are marked with an asterisk.
  std::string text() const;
  /// \brief \returns the same as JSON.
  std::string json() const;

private:
  struct Entry
  {
    LogLine mLine;
    bool mOwn = false;
  };

  bool isWithinContextWindow(const LogLine& aLine) const;
  std::vector<Entry> timeline() const;
  void explainRefusal(const LogLine& aEnd, std::vector<std::string>& aConclusions) const;

  std::string mId;
  std::vector<LogLine> mOwn;
  std::set<std::string> mInstances;
  std::set<std::string> mTargets;
  std::string mService;
  /// Newest line of each kind of state of the request's instances before the request ended.
  std::map<std::string, LogLine> mState;
  std::vector<LogLine> mTargetEvents;
};

} // namespace bulrushrun
