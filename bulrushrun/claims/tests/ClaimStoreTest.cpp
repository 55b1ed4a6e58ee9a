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

  static ClaimRequest request(const std::string& aKey, const std::string& aFingerprint = "print")
  {
    return { "claim/" + aKey, aFingerprint, UnixSeconds{ 0 } };
  }

  ClaimResult acquire(ClaimStore<VirtualHost>& aClaims, const ClaimRequest& aRequest)
  {
    std::optional<ClaimResult> result;
    aClaims.acquire(aRequest, [&](const ClaimResult& aResult) { result = aResult; });
    runOneMinute();
    EXPECT_TRUE(result) << "the attempt to acquire the claim never completed";
    return result.value_or(ClaimResult{});
  }

  void runOneMinute() { mNetwork.runUntil(mNetwork.now() + std::chrono::seconds(60)); }

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
  ClaimStore<VirtualHost> mClaims{ mHost, InstanceId{ "a" } };
  ClaimStore<VirtualHost> mOtherClaims{ mOtherHost, InstanceId{ "b" } };
};

/// A key must be claimed by one request only, and a duplicate must get the stored response.
TEST_F(Claims, AreAcquiredByOneOfTwoInstances)
{
  EXPECT_EQ(acquire(mClaims, request("k")).mStatus, ClaimStatus::Acquired);
  EXPECT_EQ(acquire(mOtherClaims, request("k")).mStatus, ClaimStatus::HeldByOther);
  EXPECT_EQ(acquire(mOtherClaims, request("k", "different")).mStatus, ClaimStatus::KeyMismatch);
}

TEST_F(Claims, ReplayTheStoredResponseByteForByte)
{
  const ClaimResult acquired = acquire(mClaims, request("k"));
  StoredOutcome outcome{ 201, { { "X-A", "1" } }, std::string("a\0b", 3), "", true };
  bool stored = false;
  mClaims.complete(*acquired.mClaimHandle, outcome, [&](bool aStored) { stored = aStored; });
  runOneMinute();
  EXPECT_TRUE(stored);
  const ClaimResult repeat = acquire(mOtherClaims, request("k"));
  ASSERT_EQ(repeat.mStatus, ClaimStatus::Replay);
  EXPECT_EQ(repeat.mOutcome->mStatus, 201);
  EXPECT_EQ(repeat.mOutcome->mBody, outcome.mBody);
  EXPECT_EQ(repeat.mOutcome->mHeaders.front().mValue, "1");
}

TEST_F(Claims, StoreALargeResponseInTheObjectStore)
{
  const ClaimResult acquired = acquire(mClaims, request("k"));
  const std::string body(kMaxInlineOutcomeBytes + 1, 'x');
  mClaims.complete(*acquired.mClaimHandle, { 200, {}, body, "", true }, [](bool) {});
  runOneMinute();
  EXPECT_EQ(acquire(mOtherClaims, request("k")).mOutcome->mBody, body);
}

TEST_F(Claims, MayBeAcquiredAgainAfterARelease)
{
  const ClaimResult acquired = acquire(mClaims, request("k"));
  bool released = false;
  mClaims.release(*acquired.mClaimHandle, [&](bool aReleased) { released = aReleased; });
  runOneMinute();
  EXPECT_TRUE(released);
  EXPECT_EQ(acquire(mOtherClaims, request("k", "different")).mStatus, ClaimStatus::Acquired);
}

/// When the platform fails, loses responses or applies writes late, a claim must never be acquired
/// by two instances.
TEST_F(Claims, AreNotAcquiredDuringAnOutage)
{
  mPlatform.setMode(PlatformMode::Outage);
  EXPECT_EQ(acquire(mClaims, request("k")).mStatus, ClaimStatus::Unavailable);
}

TEST_F(Claims, AreReadBackByTheirTokenWhenTheResponseIsLost)
{
  mPlatform.setMode(PlatformMode::LosesAnswers);
  int acquired = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string key = "k" + std::to_string(i);
    const ClaimStatus first = acquire(mClaims, request(key)).mStatus;
    EXPECT_TRUE(first == ClaimStatus::Acquired || first == ClaimStatus::Unavailable);
    acquired += first == ClaimStatus::Acquired ? 1 : 0;
    const ClaimStatus second = acquire(mOtherClaims, request(key)).mStatus;
    EXPECT_FALSE(first == ClaimStatus::Acquired && second == ClaimStatus::Acquired) << key;
  }
  EXPECT_GT(acquired, 20);
}

TEST_F(Claims, AreNotAcquiredTwiceWhenAWriteIsAppliedSecondsLater)
{
  mPlatform.setMode(PlatformMode::AppliesLate);
  for (int i = 0; i < 40; ++i) {
    const std::string key = "k" + std::to_string(i);
    int acquired = 0;
    for (ClaimStore<VirtualHost>* claims : { &mClaims, &mOtherClaims }) {
      claims->acquire(request(key), [&](const ClaimResult& aResult) {
        acquired += aResult.mStatus == ClaimStatus::Acquired ? 1 : 0;
      });
    }
    runOneMinute();
    EXPECT_LE(acquired, 1) << key;
  }
}

/// Many claims must be batched into few transactions, because the platform limits the rate of
/// transactions.
TEST_F(Claims, OfAThousandRequestsPerSecondNeedAHundredTransactionsPerSecond)
{
  constexpr int kRequests = 3000;
  constexpr double kTransactionsPerSecond = 100;
  int acquired = 0;
  const TimePoint start = mNetwork.now();
  for (int i = 0; i < kRequests; ++i) {
    mNetwork.atNode(0, std::chrono::milliseconds(i), [this, i, &acquired] {
      mClaims.acquire(request("k" + std::to_string(i)), [&](const ClaimResult& aResult) {
        acquired += aResult.mStatus == ClaimStatus::Acquired ? 1 : 0;
      });
    });
  }
  mNetwork.runUntil(start + std::chrono::milliseconds(kRequests + 100));
  EXPECT_EQ(acquired, kRequests);
  EXPECT_LE(static_cast<double>(mPlatform.transactionCount()),
            kTransactionsPerSecond * kRequests / 1000);
}

} // namespace
} // namespace bulrushrun
