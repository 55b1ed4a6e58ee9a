#include "bulrushrun/membership/ReplicationRoles.h"

#include <gtest/gtest.h>

#include <set>

namespace bulrushrun {
namespace {

/// Role assignment in a fleet of three regions with two zones each.
class ReplicationRolesTest : public ::testing::Test
{
protected:
  ReplicationRolesTest()
  {
    for (int zone = 0; zone < 6; ++zone) {
      const ZoneName name{ "z" + std::to_string(zone) };
      mRegions[name] = RegionName{ "r" + std::to_string(zone / 2) };
      for (int i = 0; i < 4; ++i) {
        Member member;
        member.mId = InstanceId{ name.text() + "-" + std::to_string(i) };
        member.mZone = name;
        mMembers.push_back(member);
      }
    }
  }

  ReplicationRoles roles() const
  {
    return assignReplicationRoles(mMembers, mRegions, ZoneName{ "z0" });
  }

  std::map<ZoneName, RegionName> mRegions;
  std::vector<Member> mMembers;
};

TEST_F(ReplicationRolesTest, AssignsOneStoreReaderPerRegion)
{
  std::set<RegionName> regions;
  for (const Member& reader : roles().mStoreReaders) {
    regions.insert(mRegions.at(reader.mZone));
  }
  EXPECT_EQ(regions.size(), kStoreReaders);
}

TEST_F(ReplicationRolesTest, ReplacesOnlyTheStoreReaderThatDied)
{
  const ReplicationRoles before = roles();
  for (Member& member : mMembers) {
    if (member.mId == before.mStoreReaders[1].mId) {
      member.mState = MemberState::Dead;
    }
  }
  const ReplicationRoles after = roles();
  EXPECT_FALSE(after.isStoreReader(before.mStoreReaders[1].mId));
  EXPECT_TRUE(after.isStoreReader(before.mStoreReaders[0].mId));
  EXPECT_TRUE(after.isStoreReader(before.mStoreReaders[2].mId));
}

TEST_F(ReplicationRolesTest, AssignsAMemberOfTheOwnZoneAsItsRelay)
{
  const std::optional<Member> relay = roles().mZoneRelay;
  ASSERT_TRUE(relay);
  EXPECT_EQ(relay->mZone, ZoneName{ "z0" });
}

TEST_F(ReplicationRolesTest, AssignsSeveralStoreReadersInASingleRegion)
{
  std::erase_if(mMembers, [&](const Member& aMember) {
    return mRegions.at(aMember.mZone) != RegionName{ "r1" };
  });
  EXPECT_EQ(roles().mStoreReaders.size(), kStoreReaders);
  EXPECT_FALSE(roles().mZoneRelay);
}

} // namespace
} // namespace bulrushrun
