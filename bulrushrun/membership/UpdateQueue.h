#pragma once

#include "bulrushrun/membership/Member.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace bulrushrun {

/// \brief Membership updates to piggyback on messages, each for a bounded number of times.
///
/// Updates that were sent least often go first. Each is sent about 3 log2(n) times, which reaches
/// all of n members with high probability.
class UpdateQueue
{
public:
  /// \brief Adds an update, which replaces an older one of the same member.
  void add(const Member& aMember) { mItems[aMember.mId] = { aMember, 0 }; }

  /// \brief \returns up to \a aMaxCount updates to send now, in a fleet of \a aFleetSize members.
  /// Removes those that have reached their number of transmissions.
  std::vector<Member> take(std::size_t aMaxCount, std::size_t aFleetSize)
  {
    std::vector<Item*> order;
    for (auto& [id, item] : mItems) {
      order.push_back(&item);
    }
    std::stable_sort(order.begin(), order.end(), [](const Item* aLeft, const Item* aRight) {
      return aLeft->mTransmissions < aRight->mTransmissions;
    });
    std::vector<Member> taken;
    for (std::size_t i = 0; i < std::min(aMaxCount, order.size()); ++i) {
      ++order[i]->mTransmissions;
      taken.push_back(order[i]->mMember);
    }
    const int max = maxTransmissions(aFleetSize);
    std::erase_if(mItems, [&](const std::pair<const InstanceId, Item>& aItem) {
      return aItem.second.mTransmissions >= max;
    });
    return taken;
  }

  std::size_t size() const { return mItems.size(); }

private:
  struct Item
  {
    Member mMember;
    int mTransmissions = 0;
  };

  static int maxTransmissions(std::size_t aFleetSize)
  {
    return 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(aFleetSize) + 2)));
  }

  std::map<InstanceId, Item> mItems;
};

} // namespace bulrushrun
