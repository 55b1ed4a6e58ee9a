#pragma once

#include "bulrushrun/steering/TargetPicker.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace bulrushrun {

/// One service of 18 targets with three slots each, in six zones of three regions.
class TargetPickerTest : public ::testing::Test
{
protected:
  static constexpr int kTargets = 18;

  TargetPickerTest()
  {
    for (int i = 0; i < kTargets; ++i) {
      TargetEntry entry;
      entry.mId = TargetId{ "t" + std::to_string(i) };
      entry.mService = ServiceName{ "s" };
      entry.mSlots = 3;
      entry.mZone = ZoneName{ "z" + std::to_string(i % 6) };
      mTable.update(entry, mNow);
    }
    std::map<ZoneName, RegionName> regions;
    for (int i = 0; i < 6; ++i) {
      regions[ZoneName{ "z" + std::to_string(i) }] = RegionName{ "r" + std::to_string(i / 2) };
    }
    mContext.mZones = ZoneTopology{ ZoneName{ "z0" }, regions };
    mTable.setComplete();
    mNow += std::chrono::seconds(10);
  }

  PickResult pick(const PickQuery& aQuery)
  {
    return mPicker.pick(aQuery, mTable.usable(ServiceName{ "s" }, mNow), mContext, mNow);
  }
  PickResult pickByKey(std::uint64_t aKey)
  {
    PickQuery query;
    query.mAffinity = Affinity::Key;
    query.mAffinityKey = mixBits(aKey);
    return pick(query);
  }
  TargetId primaryOf(std::uint64_t aKey) { return pickByKey(aKey).mTarget->mEntry.mId; }
  void startAttempts(const TargetId& aTarget, int aCount = 1)
  {
    for (int i = 0; i < aCount; ++i) {
      mPicker.stats(aTarget).onAttemptStarted(mNow);
    }
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  TargetTable mTable;
  TargetPicker mPicker;
  PickContext mContext;
};

} // namespace bulrushrun
