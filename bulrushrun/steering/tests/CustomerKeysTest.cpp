#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bulrushrun::steering_test {
namespace {

constexpr Duration kBound = std::chrono::milliseconds(3000);

/// Two instances in two regions with two targets each; customers `acme` (key `key-a`, at home in
/// region ra) and `bolt` (key `key-b`).
class CustomerKeysTest : public ::testing::Test
{
protected:
  CustomerKeysTest()
  {
    for (const char* id : { "ra-1", "ra-2" }) {
      mSimulation.putTarget(id, "ready", 4, 0, "za");
    }
    for (const char* id : { "rb-1", "rb-2" }) {
      mSimulation.putTarget(id, "ready", 4, 0, "zb");
    }
    mSimulation.add("n1", "za").start();
    mSimulation.add("n2", "zb").start();
  }
  void putPlan(const std::string& aRouteFields = "", const std::string& aCustomers = kBoth)
  {
    mSimulation.putPlan(
      ++mVersion, mKind, aRouteFields, aCustomers.empty() ? "" : R"(,"tenants":)" + aCustomers);
    mSimulation.run(kBound);
  }
  std::shared_ptr<RecordingResponder> send(const Headers& aHeaders, const std::string& aNode = "n1")
  {
    return mSimulation.sendRequest(aNode, "id-" + std::to_string(++mRequests), "", aHeaders);
  }
  /// \returns the status of the response that needs no target, 0 when the request was sent to one.
  int immediateStatus(const Headers& aHeaders, const std::string& aNode = "n1")
  {
    const std::shared_ptr<RecordingResponder> caller = send(aHeaders, aNode);
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      mSimulation.respondOk(exchange);
      return 0;
    }
    return caller->mHead.mStatus;
  }
  const HttpRequest& sent()
  {
    return mSimulation.exchange(mSimulation.targetExchanges().back()).mRequest;
  }
  /// \returns all values of a header of the last request to a target.
  std::vector<std::string> sentValues(const std::string& aName)
  {
    std::vector<std::string> values;
    for (const Header& header : sent().mHeaders) {
      if (equalHeaderNames(header.mName, aName)) {
        values.push_back(header.mValue);
      }
    }
    return values;
  }
  /// Removes the key of acme while requests are in progress.
  void removeAcme()
  {
    mSimulation.putPlan(
      ++mVersion, mKind, "", R"(,"tenants":[{"name":"bolt","apiKeys":["key-b"]}])");
    mSimulation.run(std::chrono::milliseconds(1500));
  }
  bool logContains(const std::string& aText)
  {
    const std::vector<std::string>& log = mSimulation.host("n1").mLog;
    return std::any_of(log.begin(), log.end(), [&](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
  }

  static constexpr const char* kBoth =
    R"([{"name":"acme","apiKeys":["key-a"],"priority":0,"homeRegions":["ra"]},)"
    R"({"name":"bolt","apiKeys":["key-b"]}])";
  const Headers mAcme{ { "Authorization", "Bearer key-a" } };
  const Headers mBolt{ { "Authorization", "Bearer key-b" } };
  FleetSimulation mSimulation;
  std::string mKind = "safe";
  int mVersion = 0;
  int mRequests = 0;
};

/// Guards against a 401 that tells a caller to give up where no check was possible.
TEST_F(CustomerKeysTest, ChecksFollowTheirOrder)
{
  const std::shared_ptr<RecordingResponder> early = send({});
  mSimulation.run(kBound);
  EXPECT_EQ(early->mHead.mStatus, 503) << "no plan yet";
  putPlan();
  EXPECT_EQ(immediateStatus({ { "X-Long", std::string(2000, 'x') } }), 431);
  HttpRequest request;
  request.mPath = "/other";
  request.mAuthority = "shop";
  const std::shared_ptr<RecordingResponder> caller = std::make_shared<RecordingResponder>();
  mSimulation.node("n1").handleCaller(request, caller);
  EXPECT_EQ(caller->mHead.mStatus, 404);
  EXPECT_EQ(immediateStatus({}), 401);
}

/// Guards against unidentified requests that are served, and refusals that can't be traced.
TEST_F(CustomerKeysTest, UnusableKeysAreRefusedAndLoggedWithTheirReason)
{
  putPlan();
  EXPECT_TRUE(logContains("plan-adopted version=1 routes=1 home_routes=0 customers=2 keys=2"));
  EXPECT_EQ(immediateStatus(mAcme), 0);
  EXPECT_EQ(immediateStatus({}), 401);
  EXPECT_TRUE(logContains("request-refused id=id-2 route=r1 version=1 status=401 "
                          "reason=\"the key is missing\""));
  EXPECT_EQ(immediateStatus({ { "Authorization", "Bearer key-x" } }), 401);
  EXPECT_TRUE(logContains("the key is unknown"));
  EXPECT_EQ(immediateStatus({ { "Authorization", "Basic key-a" } }), 401);
  EXPECT_TRUE(logContains("the key is malformed"));
  EXPECT_EQ(immediateStatus({ mAcme.front(), mAcme.front() }), 401);
  EXPECT_TRUE(logContains("the key is repeated"));
  EXPECT_FALSE(logContains("key-a") || logContains("key-x")) << "no key may be logged";
  const std::shared_ptr<RecordingResponder> metrics = std::make_shared<RecordingResponder>();
  mSimulation.node("n1").handleMetrics(metrics);
  for (const char* line : { "bulrushrun_key_refusals_total{reason=\"missing\"} 1\n",
                            "bulrushrun_key_refusals_total{reason=\"repeated\"} 1\n",
                            "bulrushrun_customer_requests_total{customer=\"acme\"} 1\n" }) {
    EXPECT_NE(metrics->mBody.find(line), std::string::npos) << line;
  }
  EXPECT_EQ(metrics->mBody.find("key-"), std::string::npos) << "no key may be a label";
}

/// Guards against a key that leaves the instance, and a customer that the caller chose.
TEST_F(CustomerKeysTest, TargetsGetTheNameOfTheCustomerAndNoKey)
{
  putPlan(R"(,"anonymous":true)");
  send({ mBolt.front(), { "x-TENANT-id", "acme" }, { "X-Tenant-Id", "acme" } });
  EXPECT_EQ(sentValues("X-Tenant-Id"), std::vector<std::string>{ "bolt" });
  EXPECT_TRUE(sentValues("Authorization").empty());
  send({ { "Authorization", "Basic x" }, { "authorization", "y" }, { "X-Tenant-Id", "acme" } });
  EXPECT_TRUE(sentValues("X-Tenant-Id").empty()) << "no customer on an anonymous route";
  EXPECT_TRUE(sentValues("Authorization").empty());
  putPlan("", "");
  send({ mBolt.front(), { "X-Tenant-Id", "acme" } });
  EXPECT_EQ(sentValues("Authorization"), std::vector<std::string>{ "Bearer key-b" })
    << "without customers, the headers pass through";
  EXPECT_EQ(sentValues("X-Tenant-Id"), std::vector<std::string>{ "acme" });
}

/// Guards against requests outside the home regions of the customer or of the route.
TEST_F(CustomerKeysTest, HomeRegionsOfCustomerAndRouteApplyTogether)
{
  const auto target = [this] { return sentValues("X-Target-Instance").front().substr(0, 2); };
  putPlan();
  send(mAcme, "n2");
  EXPECT_EQ(target(), "ra");
  EXPECT_TRUE(send(mBolt, "n2")->mHead.mHeaders.empty());
  EXPECT_EQ(target(), "rb");
  putPlan(R"(,"homeRegions":["rb"])");
  send(mBolt, "n1");
  EXPECT_EQ(target(), "rb");
  const std::size_t before = mSimulation.targetExchanges().size();
  const std::shared_ptr<RecordingResponder> caller = send(mAcme);
  EXPECT_EQ(mSimulation.targetExchanges().size(), before);
  EXPECT_EQ(caller->mHead.mStatus, 503);
  EXPECT_TRUE(logContains("customer=acme home_regions=none target_zone=- "
                          "reason=\"the route and the customer have no home region in common\""));
}

/// Guards against keys that are added or removed late, also at an instance that lost the store.
TEST_F(CustomerKeysTest, KeysFollowThePlanWithinTheBound)
{
  putPlan("", R"([{"name":"acme","apiKeys":["key-a"]}])");
  mSimulation.mStoreUnreachableFrom = { "n2" };
  mSimulation.run(kBound);
  for (const char* node : { "n1", "n2" }) {
    EXPECT_EQ(immediateStatus(mAcme, node), 0) << node;
    EXPECT_EQ(immediateStatus(mBolt, node), 401) << node;
  }
  putPlan("", R"([{"name":"acme","apiKeys":[]},{"name":"bolt","apiKeys":["key-b"]}])");
  for (const char* node : { "n1", "n2" }) {
    EXPECT_EQ(immediateStatus(mAcme, node), 401) << node;
    EXPECT_EQ(immediateStatus(mBolt, node), 0) << node;
  }
}

/// Guards against a plan that is half in force, and one that can't be decoded but disables keys.
TEST_F(CustomerKeysTest, PlanWithTwoOwnersOfAKeyIsRejectedAsAWhole)
{
  putPlan();
  putPlan("", R"([{"name":"b","apiKeys":["key-b"]},{"name":"c","apiKeys":["key-b"]}])");
  EXPECT_TRUE(logContains("plan-refused reason=\"two customers have the same name or key\""));
  EXPECT_EQ(immediateStatus(mAcme), 0);
}

/// Guards against a response that is lost because its customer's key was removed meanwhile.
TEST_F(CustomerKeysTest, RequestInProgressOutlivesItsKey)
{
  putPlan();
  const std::shared_ptr<RecordingResponder> caller = send(mAcme);
  removeAcme();
  mSimulation.respondOk(mSimulation.targetExchanges().back());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

/// Guards against further attempts with a key that was removed, and against ending those of other
/// customers.
TEST_F(CustomerKeysTest, RemovedKeyEndsTheRequestAtItsNextAttempt)
{
  putPlan();
  const std::shared_ptr<RecordingResponder> declined = send(mAcme);
  const std::shared_ptr<RecordingResponder> kept = send(mBolt);
  const std::vector<ExchangeId> exchanges = mSimulation.targetExchanges();
  ASSERT_EQ(exchanges.size(), 2U);
  removeAcme();
  mSimulation.respondTo(exchanges[0], 503, { { "X-Not-Executed", "1" } }, "");
  EXPECT_EQ(declined->mHead.mStatus, 503) << "one attempt was made, and it was not executed";
  mSimulation.failExchange(exchanges[1], ExchangeResult::NotSent);
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_EQ(sentValues("X-Tenant-Id"), std::vector<std::string>{ "bolt" });
}

/// Guards against an attempt with a removed key when no target was reached before.
TEST_F(CustomerKeysTest, RemovedKeyIsRefusedIfNoAttemptWasMade)
{
  putPlan();
  const std::shared_ptr<RecordingResponder> caller = send(mAcme);
  const ExchangeId exchange = mSimulation.targetExchanges().back();
  removeAcme();
  mSimulation.failExchange(exchange, ExchangeResult::NotSent);
  EXPECT_EQ(caller->mHead.mStatus, 401);
  EXPECT_TRUE(mSimulation.targetExchanges().empty());
}

} // namespace
} // namespace bulrushrun::steering_test
