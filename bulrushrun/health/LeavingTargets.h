#pragma once

#include "bulrushrun/core.h"

#include <map>
#include <set>
#include <vector>

namespace bulrushrun {

/// \brief Word that a target is leaving, and when some instance last saw a source say so.
struct LeavingNotice
{
  TargetId mTarget;
  UnixSeconds mSeen{ 0 };
};

/// \brief Which targets are leaving, by any source: the platform's list, their health pages, or
/// what peers have seen of either. Pure.
///
/// The last list holds until the next one comes, also while the platform is unreachable. Pages and
/// notices lapse when nobody sees them confirmed.
class LeavingTargets
{
public:
  /// \brief Time after which an unconfirmed page or notice lapses.
  static constexpr UnixSeconds kKept{ 10 };
  /// \brief Most notices that ride on one message.
  static constexpr std::size_t kMaxNotices = 64;

  /// \brief Takes the targets that the newest list names as leaving.
  void setListed(std::set<TargetId> aListed) { mListed = std::move(aListed); }

  /// \brief Takes what a target's page says.
  void setHealthReport(const TargetId& aTarget, bool aLeaving, UnixSeconds aNow)
  {
    if (aLeaving) {
      mPages[aTarget] = aNow;
    } else {
      mPages.erase(aTarget);
    }
  }

  /// \brief Takes a notice of a peer.
  void onNotice(const LeavingNotice& aNotice)
  {
    UnixSeconds& seen = mNotices[aNotice.mTarget];
    seen = std::max(seen, aNotice.mSeen);
  }

  /// \brief \returns the targets that are leaving now; forgets what has lapsed.
  std::set<TargetId> current(UnixSeconds aNow)
  {
    std::set<TargetId> leaving = mListed;
    for (std::map<TargetId, UnixSeconds>* source : { &mPages, &mNotices }) {
      std::erase_if(*source, [&](const std::pair<const TargetId, UnixSeconds>& aEntry) {
        return aEntry.second + kKept < aNow;
      });
      for (const auto& [target, seen] : *source) {
        leaving.insert(target);
      }
    }
    return leaving;
  }

  /// \brief \returns what to tell peers.
  std::vector<LeavingNotice> notices(UnixSeconds aNow)
  {
    std::vector<LeavingNotice> told;
    for (const TargetId& target : current(aNow)) {
      const auto page = mPages.find(target);
      const auto notice = mNotices.find(target);
      UnixSeconds seen = mListed.contains(target) ? aNow : UnixSeconds{ 0 };
      seen = page == mPages.end() ? seen : std::max(seen, page->second);
      seen = notice == mNotices.end() ? seen : std::max(seen, notice->second);
      if (told.size() < kMaxNotices) {
        told.push_back({ target, seen });
      }
    }
    return told;
  }

private:
  std::set<TargetId> mListed;
  std::map<TargetId, UnixSeconds> mPages;
  std::map<TargetId, UnixSeconds> mNotices;
};

} // namespace bulrushrun
