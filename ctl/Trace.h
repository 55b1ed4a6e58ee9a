#pragma once

#include "ctl/LogLine.h"

#include <set>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Reconstructs the handling of one request from the logs of all instances: the log lines
/// of the request, the state on which decisions were based, and conclusions from both.
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

  /// \brief Adds a line if it mentions the request. Pass all lines to this function first.
  void addRequestLine(const LogLine& aLine);
  /// \brief Adds a line if it shows the state on which the handling of the request was based: the
  /// configuration and the store as seen by the instances of the request, and the targets involved
  /// as seen by all instances.
  void addContextLine(const LogLine& aLine);

  /// \brief \returns false when no line mentions the request.
  bool isFound() const { return !mRequestLines.empty(); }
  /// \brief \returns what happened to the request, one sentence per entry.
  std::vector<std::string> conclusions() const;
  /// \brief \returns conclusions and timeline as text; lines of the request are marked with an
  /// asterisk.
  std::string text() const;
  /// \brief \returns conclusions and timeline as JSON.
  std::string json() const;

private:
  struct Entry
  {
    LogLine mLine;
    bool mOfRequest = false;
  };

  bool isWithinContextWindow(const LogLine& aLine) const;
  std::vector<Entry> timeline() const;
  static void explainEarlyRefusal(const LogLine& aLine, std::vector<std::string>& aConclusions);
  void explainRefusal(const LogLine& aEnd, std::vector<std::string>& aConclusions) const;

  std::string mId;
  std::vector<LogLine> mRequestLines;
  std::set<std::string> mInstances;
  std::set<std::string> mTargets;
  std::string mService;
  /// For each instance of the request and each kind of state, the newest line before the request
  /// ended.
  std::map<std::string, LogLine> mStateLines;
  std::vector<LogLine> mTargetEvents;
};

} // namespace bulrushrun
