#include "bulrushrun/steering/tests/SteeringFleetFixture.h"

namespace bulrushrun::steering_test {
namespace {

/// One instance with three targets of a sticky route; a target that is busy asks for rest.
class RestingTargetTest : public ::testing::Test
{
protected:
  static constexpr Duration kSecond = std::chrono::seconds(1);

  void start(int aTargets = 3)
  {
    mSimulation.putPlan(1, "non_idempotent");
    for (int i = 1; i <= aTargets; ++i) {
      mSimulation.putTarget("t" + std::to_string(i));
    }
    mSimulation.add("n1", "za").start();
    mSimulation.run(5 * kSecond);
    mHome = send("first");
  }
  std::string targetOf(ExchangeId aExchange) const
  {
    return *findHeader(mSimulation.exchange(aExchange).mRequest.mHeaders, "X-Target-Instance");
  }
  /// Sends a request for the one object; answers it, and returns the target that got it.
  std::string send(const std::string& aId)
  {
    mCaller = mSimulation.sendRequest("n1", aId, "object");
    if (mSimulation.targetExchanges().empty()) {
      return "none";
    }
    const std::string target = targetOf(mSimulation.targetExchanges().front());
    mSimulation.respondOk(mSimulation.targetExchanges().front());
    return target;
  }
  /// The target of the oldest exchange turns its request away.
  void decline(const Headers& aExtra, int aStatus = 503)
  {
    Headers headers = aExtra;
    headers.push_back({ "X-Not-Executed", "1" });
    mSimulation.respondTo(mSimulation.targetExchanges().front(), aStatus, headers, "");
  }
  /// The target turns away a request, which the next one executes. Returns the first target.
  std::string askForRest(const std::string& aSeconds)
  {
    mSimulation.sendRequest("n1", "turned-away", "object");
    const std::string target = targetOf(mSimulation.targetExchanges().front());
    decline({ { "Retry-After", aSeconds } });
    if (!mSimulation.targetExchanges().empty()) {
      mSimulation.respondOk(mSimulation.targetExchanges().front());
    }
    return target;
  }
  /// Returns whether the target gets any of many requests.
  bool getsRequests(const std::string& aTarget)
  {
    bool found = false;
    for (int i = 0; i < 6; ++i) {
      found = send("probe-" + std::to_string(i)) == aTarget || found;
    }
    return found;
  }
  bool hasLogged(const std::string& aLine)
  {
    const std::vector<std::string>& log = mSimulation.host("n1").mLog;
    return std::any_of(
      log.begin(), log.end(), [&](const std::string& aEntry) { return aEntry.starts_with(aLine); });
  }

  FleetSimulation mSimulation;
  std::string mHome;
  std::shared_ptr<RecordingResponder> mCaller;
};

/// Guards against requests to a target, though its object is there, within the time it asked for.
TEST_F(RestingTargetTest, GetsNothingUntilTheEndAndThenItsObjectAgain)
{
  start();
  EXPECT_EQ(askForRest("2.5"), mHome);
  EXPECT_TRUE(hasLogged("target-resting target=" + mHome));
  EXPECT_FALSE(getsRequests(mHome));
  mSimulation.run(std::chrono::milliseconds(2300));
  EXPECT_FALSE(getsRequests(mHome)) << "shortly before the end";
  mSimulation.run(kSecond);
  EXPECT_EQ(send("after"), mHome);
}

/// Guards against losing the request that was turned away.
TEST_F(RestingTargetTest, RefusedRequestIsTriedElsewhere)
{
  start();
  const std::shared_ptr<RecordingResponder> caller =
    mSimulation.sendRequest("n1", "id-1", "object");
  decline({ { "Retry-After", "2" } });
  ASSERT_EQ(mSimulation.targetExchanges().size(), 1U);
  EXPECT_NE(targetOf(mSimulation.targetExchanges().front()), mHome);
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(caller->mHead.mStatus, 200);
}

/// Guards against aborting work that the target has accepted.
TEST_F(RestingTargetTest, RequestsInProgressThereGoOn)
{
  start();
  const std::shared_ptr<RecordingResponder> accepted =
    mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.sendRequest("n1", "id-2", "object");
  ASSERT_EQ(targetOf(mSimulation.targetExchanges().back()), mHome);
  mSimulation.respondTo(mSimulation.targetExchanges().back(),
                        503,
                        { { "X-Not-Executed", "1" }, { "Retry-After", "2" } },
                        "");
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(accepted->mHead.mStatus, 200);
}

/// Guards against a second answer that ends the rest early.
TEST_F(RestingTargetTest, ShorterLaterTimeDoesNotShortenIt)
{
  start();
  mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.sendRequest("n1", "id-2", "object");
  const ExchangeId second = mSimulation.targetExchanges().back();
  ASSERT_EQ(targetOf(second), mHome);
  decline({ { "Retry-After", "3" } });
  mSimulation.respondTo(second, 503, { { "X-Not-Executed", "1" }, { "Retry-After", "0.1" } }, "");
  for (const ExchangeId exchange : mSimulation.targetExchanges()) {
    mSimulation.respondOk(exchange);
  }
  mSimulation.run(2 * kSecond);
  EXPECT_FALSE(getsRequests(mHome));
}

/// When every target rests, nothing can be served.
class AllTargetsRestTest : public RestingTargetTest
{
protected:
  double retryAfter() const
  {
    const std::string* seconds = findHeader(mCaller->mHead.mHeaders, "Retry-After");
    return seconds == nullptr ? -1 : std::stod(*seconds);
  }
};

/// Guards against sending to a resting target as a last resort, and against a Retry-After that
/// brings the caller back too early.
TEST_F(AllTargetsRestTest, RequestsAreRefusedAtOnceUntilTheEarliestEnd)
{
  start(2);
  mSimulation.sendRequest("n1", "id-1", "object");
  decline({ { "Retry-After", "8" } });
  decline({ { "Retry-After", "4" } });
  EXPECT_EQ(send("id-2"), "none");
  EXPECT_EQ(mCaller->mHead.mStatus, 503);
  EXPECT_GE(retryAfter(), 3.9);
  EXPECT_LT(retryAfter(), 6.5);
  mSimulation.run(std::chrono::milliseconds(3900));
  EXPECT_EQ(send("id-3"), "none");
  mSimulation.run(kSecond);
  EXPECT_NE(send("id-4"), "none");
}

/// Guards against an early return of the caller whose own request was turned away last.
TEST_F(AllTargetsRestTest, CallerThatWasTurnedAwayIsToldTheSame)
{
  start(1);
  mCaller = mSimulation.sendRequest("n1", "id-1", "object");
  decline({ { "Retry-After", "5" } });
  EXPECT_EQ(mCaller->mHead.mStatus, 503);
  EXPECT_GE(retryAfter(), 4.9);
}

/// Guards against the rule on avoided targets and the last resort of vanished ones, which would
/// send work to resting targets.
TEST_F(AllTargetsRestTest, VanishedTargetsThatRestGetNothing)
{
  start(2);
  mSimulation.sendRequest("n1", "id-1", "object");
  decline({ { "Retry-After", "8" } });
  decline({ { "Retry-After", "8" } });
  mSimulation.removeTarget("t1");
  mSimulation.removeTarget("t2");
  mSimulation.run(std::chrono::milliseconds(900));
  EXPECT_EQ(send("id-2"), "none");
  mSimulation.run(3 * kSecond);
  mSimulation.putTarget("t1");
  mSimulation.run(kSecond);
  EXPECT_EQ(send("id-3"), "none") << "it rests on after its row came back";
}

/// Guards against instances that return to a target in the same moment, or too early.
TEST_F(RestingTargetTest, EndsOfManyRestsAreSpreadAndNeverEarly)
{
  start(1);
  std::set<std::string> ends;
  for (int i = 0; i < 8; ++i) {
    mSimulation.host("n1").mLog.clear();
    askForRest("1");
    for (const std::string& line : mSimulation.host("n1").mLog) {
      if (line.starts_with("target-resting")) {
        const std::string millis = line.substr(line.find("for_ms=") + 7);
        EXPECT_GE(std::stoi(millis), 1000);
        EXPECT_LE(std::stoi(millis), 1100);
        ends.insert(millis);
      }
    }
    mSimulation.run(12 * kSecond);
  }
  EXPECT_GT(ends.size(), 3U);
}

/// Values that no target should send, and answers that prove nothing.
class InvalidRestTest : public RestingTargetTest
{};

/// Guards against deciding on a value that is no time: as if the header were missing, and logged.
TEST_F(InvalidRestTest, UnusableValuesAreIgnoredAndLogged)
{
  start();
  const std::vector<Headers> invalid{
    { { "Retry-After", "" } },
    { { "Retry-After", "-3" } },
    { { "Retry-After", "nan" } },
    { { "Retry-After", "inf" } },
    { { "Retry-After", "soon" } },
    { { "Retry-After", "3 s" } },
    { { "Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT" } },
    { { "Retry-After", std::string(60'000, 'x') } },
    { { "Retry-After", "3" }, { "Retry-After", "3" } },
  };
  for (const Headers& headers : invalid) {
    mSimulation.host("n1").mLog.clear();
    mSimulation.sendRequest("n1", "id-1", "object");
    const std::string target = targetOf(mSimulation.targetExchanges().front());
    decline(headers);
    mSimulation.respondOk(mSimulation.targetExchanges().front());
    EXPECT_TRUE(hasLogged("target-header-ignored target=" + target)) << headers.front().mValue;
    EXPECT_FALSE(hasLogged("target-resting")) << headers.front().mValue;
    mSimulation.run(12 * kSecond);
    EXPECT_EQ(send("good"), mHome);
  }
}

/// Guards against losing a target for a day, or for ever, through one wrong value.
TEST_F(InvalidRestTest, LongTimesAreBounded)
{
  start();
  for (const char* seconds : { "86400", "1e300", "99999999999999999999" }) {
    askForRest(seconds);
    EXPECT_FALSE(getsRequests(mHome)) << seconds;
    EXPECT_TRUE(hasLogged("target-header-ignored")) << seconds;
    mSimulation.run(std::chrono::minutes(4));
    EXPECT_FALSE(getsRequests(mHome)) << seconds;
    mSimulation.run(std::chrono::minutes(2));
    EXPECT_TRUE(getsRequests(mHome)) << seconds;
    mSimulation.host("n1").mLog.clear();
  }
}

/// Guards against resting a target because of an answer that does not prove a declined request, or
/// that another target gave.
TEST_F(InvalidRestTest, OnlyADeclinedRequestWith503Counts)
{
  start();
  mSimulation.sendRequest("n1", "id-1", "object");
  mSimulation.respondTo(
    mSimulation.targetExchanges().front(), 503, { { "Retry-After", "5" } }, "not from the target");
  EXPECT_EQ(send("id-2"), mHome);
  mSimulation.sendRequest("n1", "id-3", "object");
  decline({ { "Retry-After", "5" } }, 429);
  mSimulation.respondOk(mSimulation.targetExchanges().front());
  EXPECT_EQ(send("id-4"), mHome);
  EXPECT_FALSE(hasLogged("target-resting"));
}

} // namespace
} // namespace bulrushrun::steering_test
