#pragma once

#include "bulrushrun/core.h"

#include <map>
#include <set>
#include <vector>

namespace bulrushrun {

/// \brief Notice that a target is leaving, with the time at which any instance last saw a source
/// report it.
struct LeavingNotice
{
  TargetId mTarget;
  UnixSeconds mSeen{ 0 };
  /// Start of the target that is leaving; empty when the source does not tell.
  Incarnation mIncarnation = {};
  /// Time since the target itself said so; independent of the instances' clocks.
  Duration mAge{ 0 };
};

/// \brief Targets that are leaving according to any source: the platform's list, their health
/// checks, or notices from peers that saw either.
///
/// The last list applies until the next one arrives, including while the platform is unreachable.
/// Health reports and notices expire unless they are confirmed. Performs no I/O; the time is
/// passed as an argument.
class LeavingTargets
{
public:
  /// \brief Time after which an unconfirmed health report or notice expires.
  static constexpr UnixSeconds kRetention{ 10 };
  /// \brief Maximum number of notices per gossip message.
  static constexpr std::size_t kMaxNotices = 64;

  /// \brief Replaces the targets that the platform lists as leaving.
  void setListed(std::set<TargetId> aListed) { mListed = std::move(aListed); }

  /// \brief Records the health check result of a target.
  void setHealthReport(const TargetId& aTarget, bool aLeaving, UnixSeconds aNow)
  {
    if (aLeaving) {
      mHealthReports[aTarget] = aNow;
    } else {
      mHealthReports.erase(aTarget);
    }
  }

  /// \brief Records a notice from a peer.
  void onNotice(const LeavingNotice& aNotice)
  {
    UnixSeconds& seen = mNotices[aNotice.mTarget];
    seen = std::max(seen, aNotice.mSeen);
  }

  /// \brief \returns the targets that are leaving now; discards expired reports and notices.
  std::set<TargetId> current(UnixSeconds aNow)
  {
    std::set<TargetId> leaving = mListed;
    for (std::map<TargetId, UnixSeconds>* source : { &mHealthReports, &mNotices }) {
      std::erase_if(*source, [&](const std::pair<const TargetId, UnixSeconds>& aEntry) {
        return aEntry.second + kRetention < aNow;
      });
      for (const auto& [target, seen] : *source) {
        leaving.insert(target);
      }
    }
    return leaving;
  }

  /// \brief \returns the notices to send to peers.
  std::vector<LeavingNotice> notices(UnixSeconds aNow)
  {
    std::vector<LeavingNotice> result;
    for (const TargetId& target : current(aNow)) {
      const auto report = mHealthReports.find(target);
      const auto notice = mNotices.find(target);
      UnixSeconds seen = mListed.contains(target) ? aNow : UnixSeconds{ 0 };
      seen = report == mHealthReports.end() ? seen : std::max(seen, report->second);
      seen = notice == mNotices.end() ? seen : std::max(seen, notice->second);
      if (result.size() < kMaxNotices) {
        result.push_back({ target, seen });
      }
    }
    return result;
  }

private:
  std::set<TargetId> mListed;
  std::map<TargetId, UnixSeconds> mHealthReports;
  std::map<TargetId, UnixSeconds> mNotices;
};

} // namespace bulrushrun
