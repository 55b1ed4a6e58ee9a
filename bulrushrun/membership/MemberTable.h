#pragma once

#include "bulrushrun/membership/Member.h"

#include <map>
#include <vector>

namespace bulrushrun {

/// \brief All instances known to one instance. Merging is commutative and idempotent, so that
/// tables converge whatever the order of updates. Does no I/O.
class MemberTable
{
public:
  /// \brief Effect of a merge.
  enum class Change
  {
    Nothing,
    /// Only the configuration version increased.
    Version,
    /// A member was added, or its incarnation or state was overridden.
    State,
  };

  /// \brief Merges an update if it is newer: the higher incarnation wins, then the later state.
  /// The configuration version never decreases within an incarnation.
  Change merge(const Member& aMember, TimePoint aNow);

  /// \brief Removes members that have been dead for longer than \a aRetention.
  void removeExpiredDead(TimePoint aNow, Duration aRetention);

  /// \brief \returns the member, or nullptr when it is unknown.
  const Member* find(const InstanceId& aId) const;
  /// \brief \returns a hash of the incarnations and states of all members that are not dead, which
  /// is equal in all tables that have converged.
  std::uint64_t digest() const;
  /// \brief \returns all members, sorted by id.
  std::vector<Member> all() const;
  std::size_t size() const { return mEntries.size(); }

private:
  struct Entry
  {
    Member mMember;
    TimePoint mChangedAt;
  };

  std::map<InstanceId, Entry> mEntries;
};

} // namespace bulrushrun
