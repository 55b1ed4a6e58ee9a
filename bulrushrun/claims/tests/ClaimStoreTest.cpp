#include "bulrushrun/claims.h"
#include "scenario/VirtualHost.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

using scenario::FakePlatform;
using scenario::PlatformMode;
using scenario::VirtualHost;
using scenario::VirtualNetwork;

Document oneZone()
{
  Document document;
  document.mRegions = { { RegionName{ "r" }, { ZoneName{ "z" } } } };
  return document;
}

/// Two instances with one platform, under a virtual clock.
struct Claims : testing::Test
{
  Claims()
  {
    mNetwork.addNode(ZoneName{ "z" });
    mNetwork.addNode(ZoneName{ "z" });
  }

  static ClaimRequest request(const std::string& aKey, const std::string& aPrint = "print")
  {
    return { "claim/" + aKey, aPrint, UnixSeconds{ 0 } };
  }

  ClaimResult acquire(ClaimStore<VirtualHost>& aBook, const ClaimRequest& aRequest)
  {
    std::optional<ClaimResult> result;
    aBook.acquire(aRequest, [&](const ClaimResult& aResult) { result = aResult; });
    settle();
    EXPECT_TRUE(result) << "the claim never ended";
    return result.value_or(ClaimResult{});
  }

  void settle() { mNetwork.runUntil(mNetwork.now() + std::chrono::seconds(60)); }

  Document mDocument = oneZone();
  VirtualNetwork mNetwork{ mDocument, 5 };
  FakePlatform mPlatform{ mNetwork, ZoneName{ "z" }, std::chrono::milliseconds(5) };
  VirtualHost mHost{ mNetwork,
                     mPlatform,
                     {
                       nullptr,
                       nullptr,
                       [](scenario::NodeIndex, const Event&, const std::string&) {},
                     },
                     0,
                     1 };
  VirtualHost mOtherHost{ mNetwork,
                          mPlatform,
                          {
                            nullptr,
                            nullptr,
                            [](scenario::NodeIndex, const Event&, const std::string&) {},
                          },
                          1,
                          2 };
  ClaimStore<VirtualHost> mBook{ mHost, InstanceId{ "a" } };
  ClaimStore<VirtualHost> mOther{ mOtherHost, InstanceId{ "b" } };
};

/// Story: a key belongs to one request.
TEST_F(Claims, AreWonByOneOfTwoInstances)
{
  EXPECT_EQ(acquire(mBook, request("k")).mStatus, ClaimStatus::Acquired);
  EXPECT_EQ(acquire(mOther, request("k")).mStatus, ClaimStatus::HeldByOther);
  EXPECT_EQ(acquire(mOther, request("k", "different")).mStatus, ClaimStatus::KeyMismatch);
}

TEST_F(Claims, ReplayTheStoredAnswerByteForByte)
{
  const ClaimResult won = acquire(mBook, request("k"));
  StoredOutcome outcome{ 201, { { "X-A", "1" } }, std::string("a\0b", 3), "", true };
  bool stored = false;
  mBook.complete(*won.mClaimHandle, outcome, [&](bool aStored) { stored = aStored; });
  settle();
  EXPECT_TRUE(stored);
  const ClaimResult repeat = acquire(mOther, request("k"));
  ASSERT_EQ(repeat.mStatus, ClaimStatus::Replay);
  EXPECT_EQ(repeat.mOutcome->mStatus, 201);
  EXPECT_EQ(repeat.mOutcome->mBody, outcome.mBody);
  EXPECT_EQ(repeat.mOutcome->mHeaders.front().mValue, "1");
}

TEST_F(Claims, KeepALargeAnswerInTheObjectStore)
{
  const ClaimResult won = acquire(mBook, request("k"));
  const std::string body(kMaxInlineOutcomeBytes + 1, 'x');
  mBook.complete(*won.mClaimHandle, { 200, {}, body, "", true }, [](bool) {});
  settle();
  EXPECT_EQ(acquire(mOther, request("k")).mOutcome->mBody, body);
}

TEST_F(Claims, MayBeClaimedAnewAfterARelease)
{
  const ClaimResult won = acquire(mBook, request("k"));
  bool released = false;
  mBook.release(*won.mClaimHandle, [&](bool aReleased) { released = aReleased; });
  settle();
  EXPECT_TRUE(released);
  EXPECT_EQ(acquire(mOther, request("k", "different")).mStatus, ClaimStatus::Acquired);
}

/// Story: the platform fails.
TEST_F(Claims, AreNotGivenDuringAnOutage)
{
  mPlatform.setMode(PlatformMode::Outage);
  EXPECT_EQ(acquire(mBook, request("k")).mStatus, ClaimStatus::Unavailable);
}

TEST_F(Claims, AreReadBackByTheirTokenWhenTheAnswerIsLost)
{
  mPlatform.setMode(PlatformMode::LosesAnswers);
  int won = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string key = "k" + std::to_string(i);
    const ClaimStatus first = acquire(mBook, request(key)).mStatus;
    EXPECT_TRUE(first == ClaimStatus::Acquired || first == ClaimStatus::Unavailable);
    won += first == ClaimStatus::Acquired ? 1 : 0;
    const ClaimStatus second = acquire(mOther, request(key)).mStatus;
    EXPECT_FALSE(first == ClaimStatus::Acquired && second == ClaimStatus::Acquired) << key;
  }
  EXPECT_GT(won, 20);
}

TEST_F(Claims, AreNotWonTwiceWhenAWriteTakesEffectSecondsLater)
{
  mPlatform.setMode(PlatformMode::AppliesLate);
  for (int i = 0; i < 40; ++i) {
    const std::string key = "k" + std::to_string(i);
    int won = 0;
    for (ClaimStore<VirtualHost>* book : { &mBook, &mOther }) {
      book->acquire(request(key), [&](const ClaimResult& aResult) {
        won += aResult.mStatus == ClaimStatus::Acquired ? 1 : 0;
      });
    }
    settle();
    EXPECT_LE(won, 1) << key;
  }
}

/// Story: many claims cost few writes.
TEST_F(Claims, OfAThousandRequestsASecondNeedAHundredTransactionsASecond)
{
  constexpr int kRequests = 3000;
  constexpr double kTransactionsPerSecond = 100;
  int won = 0;
  const TimePoint start = mNetwork.now();
  for (int i = 0; i < kRequests; ++i) {
    mNetwork.atNode(0, std::chrono::milliseconds(i), [this, i, &won] {
      mBook.acquire(request("k" + std::to_string(i)), [&](const ClaimResult& aResult) {
        won += aResult.mStatus == ClaimStatus::Acquired ? 1 : 0;
      });
    });
  }
  mNetwork.runUntil(start + std::chrono::milliseconds(kRequests + 100));
  EXPECT_EQ(won, kRequests);
  EXPECT_LE(static_cast<double>(mPlatform.transactionCount()),
            kTransactionsPerSecond * kRequests / 1000);
}

} // namespace
} // namespace bulrushrun
