#include "bulrushrun/net/tests/PeakMemory.h"
#include "bulrushrun/steering/tests/SocketProxyFixture.h"

#include <map>
#include <vector>

namespace bulrushrun {
namespace {

/// A caller that sends several requests at once, the proxy, and a target that responds when the
/// test says so, all on one loop.
class PipelinedRequestsTest : public SocketProxyFixture
{
protected:
  PipelinedRequestsTest()
    : mTarget(loop(),
              kPeer,
              { nullptr,
                [this](const HttpRequest& aRequest, const std::shared_ptr<HttpResponder>& aProxy) {
                  mRunning[*findHeader(aRequest.mHeaders, "x-request-id")] = aProxy;
                  mPaths.push_back(aRequest.mPath);
                } })
    , mCaller(::socket(AF_INET, SOCK_STREAM, 0))
  {
    const sockaddr_in address = socketAddress(kServer);
    (void)::connect(mCaller, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  ~PipelinedRequestsTest() override
  {
    ::close(mCaller);
    runFor(std::chrono::milliseconds(5));
    mTarget.close();
  }

  template<class Condition>
  bool runUntil(Condition aCondition)
  {
    constexpr int kPolls = 1500;
    for (int i = 0; i < kPolls && !aCondition(); ++i) {
      runFor(std::chrono::milliseconds(1));
    }
    return aCondition();
  }
  static std::string request(const std::string& aId, const std::string& aMethod = "GET")
  {
    return aMethod + " /a/" + aId + " HTTP/1.1\r\nHost: shop\r\nX-Request-Id: " + aId +
           "\r\nX-Request-Timeout-Ms: 3000\r\n\r\n";
  }
  void send(const std::string& aBytes)
  {
    ASSERT_EQ(::send(mCaller, aBytes.data(), aBytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(aBytes.size()));
  }
  static ResponseHead head(const std::string& aId, std::size_t aLength)
  {
    return { 200, { { "X-Request-Id", aId }, { "X-Response-Signature", "t1." + aId } }, aLength };
  }
  void answer(const std::string& aId, const std::string& aBody)
  {
    mRunning[aId]->start(head(aId, aBody.size()));
    mRunning[aId]->write(aBody);
    mRunning[aId]->finish();
  }
  /// Takes what has arrived, and returns all of it.
  const std::string& received()
  {
    char part[65536];
    ssize_t size = 0;
    while ((size = ::recv(mCaller, part, sizeof(part), MSG_DONTWAIT)) > 0) {
      mBytes.append(part, static_cast<std::size_t>(size));
    }
    return mBytes;
  }

  HttpServer mTarget;
  int mCaller;
  std::map<std::string, std::shared_ptr<HttpResponder>> mRunning;
  std::vector<std::string> mPaths;
  std::string mBytes;
};

// Guards against a request that waits for the response to an earlier one although its target is
// free, and against responses in the order in which the targets respond.
TEST_F(PipelinedRequestsTest, RunAtTheirTargetsAtTheSameTime)
{
  resetProxy(plan("safe"));
  send(request("1") + request("2") + request("3"));
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 3; }));
  answer("3", "third");
  answer("2", "second");
  runFor(std::chrono::milliseconds(10));
  EXPECT_EQ(received(), "");
  answer("1", "first");
  ASSERT_TRUE(runUntil([&] { return received().ends_with("third"); }));
  EXPECT_LT(mBytes.find("first"), mBytes.find("second"));
  EXPECT_LT(mBytes.find("second"), mBytes.find("third"));
}

// Guards against requests that run early although they may run only once, or although the instance
// drains.
TEST_F(PipelinedRequestsTest, OnlyIdempotentOnesRunAheadAndNoneWhileDraining)
{
  resetProxy(atMostOncePlan());
  EXPECT_FALSE(proxy().mayRunAhead({ "GET", "/a/x", {}, {}, "shop" }));
  send(request("1") + request("2"));
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 1; }));
  runFor(std::chrono::milliseconds(10));
  EXPECT_EQ(mRunning.size(), 1U);
  answer("1", "first");
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 2; }));
  answer("2", "second");
  ASSERT_TRUE(runUntil([&] { return received().ends_with("second"); }));
  resetProxy(plan("safe"));
  EXPECT_TRUE(proxy().mayRunAhead({ "GET", "/a/x?b", {}, {}, "shop" }));
  EXPECT_FALSE(proxy().mayRunAhead({ "GET", "/b/x", {}, {}, "shop" })) << "no route";
  setDraining();
  EXPECT_FALSE(proxy().mayRunAhead({ "GET", "/a/x", {}, {}, "shop" }));
}

// Guards against refusals that overtake responses.
TEST_F(PipelinedRequestsTest, RefusalsWaitForTheirTurn)
{
  resetProxy(plan("safe"));
  send(request("1") + "GET /unknown HTTP/1.1\r\nHost: shop\r\n\r\n" + request("3"));
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 1; }));
  answer("1", "first");
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 2; }));
  answer("3", "third");
  ASSERT_TRUE(runUntil([&] { return received().ends_with("third"); }));
  EXPECT_LT(mBytes.find("first"), mBytes.find("404"));
  EXPECT_LT(mBytes.find("404"), mBytes.find("third"));
}

// Guards against targets that work for a caller that has left.
TEST_F(PipelinedRequestsTest, CallerThatLeavesEndsThemAtTheirTargets)
{
  resetProxy(plan("safe"));
  send(request("1") + request("2") + request("3"));
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 3; }));
  ::shutdown(mCaller, SHUT_RDWR);
  ASSERT_TRUE(runUntil([&] {
    sweepProxy();
    return proxy().requestsInProgress() == 0;
  }));
  EXPECT_TRUE(runUntil([&] {
    return mRunning["1"]->isDisconnected() && mRunning["2"]->isDisconnected() &&
           mRunning["3"]->isDisconnected();
  }));
  EXPECT_EQ(mPaths.size(), 3U);
}

// Guards against large responses that grow in the memory of the instance behind a slow first one,
// and against some that are not read on in their turn.
TEST_F(PipelinedRequestsTest, LargeResponsesBehindASlowOneAreNotCollected)
{
  constexpr std::size_t kBody = std::size_t{ 8 } * 1024 * 1024;
  constexpr std::size_t kPart = std::size_t{ 32 } * 1024;
  resetProxy(plan("safe"));
  send(request("0"));
  ASSERT_TRUE(runUntil([&] { return mRunning.size() == 1; }));
  const PeakMemory memory;
  const std::string part(kPart, 'x');
  std::map<std::string, std::size_t> written;
  for (int i = 1; i <= 8; ++i) {
    const std::string id = std::to_string(i);
    send(request(id));
    if (!runUntil([&] { return mRunning.size() == static_cast<std::size_t>(i) + 1; })) {
      break; // The connection holds too much.
    }
    HttpResponder* target = mRunning[id].get();
    target->start(head(id, kBody));
    const auto fill = [target, &part, &sent = written[id]] {
      while (sent < kBody) {
        sent += kPart;
        if (target->write(part) >= kPart) {
          break;
        }
      }
      if (sent == kBody) {
        sent += 1;
        target->finish();
      }
    };
    target->mOnWritable = fill;
    fill();
  }
  runFor(std::chrono::milliseconds(100));
  EXPECT_LT(memory.growth(), std::size_t{ 10 } * 1024 * 1024) << "of 64 MiB";
  const std::size_t responses = mRunning.size() - 1;
  EXPECT_GE(responses, 1U);
  answer("0", "first");
  ASSERT_TRUE(runUntil([&] { return received().size() >= responses * kBody; })) << mBytes.size();
  EXPECT_EQ(std::count(mBytes.begin(), mBytes.end(), 'x') / kBody, responses);
}

} // namespace
} // namespace bulrushrun
