#pragma once

#include "bulrushrun/membership/Member.h"

#include <map>
#include <vector>

namespace bulrushrun {

/// \brief All instances that one instance knows of. Pure; merging is commutative and idempotent.
class MemberTable
{
public:
  /// \brief What a merge changed.
  enum class Change
  {
    Nothing,
    /// Only the configuration version rose.
    Version,
    /// A new member, or a state or an address that changed.
    State,
  };

  /// \brief Takes over what is newer in \a aMember: the higher incarnation wins, then the later
  /// state. A version never goes down within an incarnation.
  Change merge(const Member& aMember, TimePoint aNow);

  /// \brief Forgets members that have been dead for longer than \a aAge.
  void removeExpiredDead(TimePoint aNow, Duration aAge);

  /// \brief \returns the member, or nullptr.
  const Member* find(const InstanceId& aId) const;
  /// \brief \returns a hash of all that must be equal in every table.
  std::uint64_t digest() const;
  /// \brief \returns all members, in order of their ids.
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
