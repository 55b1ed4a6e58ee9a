#include "bulrushrun/net/tests/PeakMemory.h"
#include "bulrushrun/net/tests/PipelineFixture.h"

namespace bulrushrun {
namespace {

using PipelineLimitTest = PipelineTest;

// Guards against a caller that occupies all targets from one connection.
TEST_F(PipelineLimitTest, NumberOfRequestsIsBounded)
{
  Paths paths;
  for (int i = 0; i < 30; ++i) {
    paths.push_back("/i" + std::to_string(i));
    send(get(paths.back()));
  }
  settle();
  EXPECT_EQ(mReceived.size(), 9U);
  EXPECT_EQ(counters().mConnectionsAtLimit, 1U);
  for (std::size_t i = 0; i < 30; ++i) {
    ASSERT_TRUE(hasStarted(std::min<std::size_t>(30, i + 9)));
    settle();
    EXPECT_EQ(mReceived.size(), std::min<std::size_t>(30, i + 9));
    answer(i);
  }
  EXPECT_TRUE(getsResponses(paths));
  EXPECT_EQ(counters().mConnectionsAtLimit, 0U);
}

// Guards against requests with large heads that fill the memory.
TEST_F(PipelineLimitTest, BytesReadAheadAreBounded)
{
  const std::string padding = "X-Padding: " + std::string(9000, 'p') + "\r\n";
  send(get("/i0"));
  ASSERT_TRUE(hasStarted(1));
  for (const char* path : { "/i1", "/i2", "/i3", "/i4", "/i5" }) {
    send(get(path, padding));
  }
  settle();
  EXPECT_EQ(mReceived.size(), 4U) << "three of 9 KB fit into 32 KiB";
  for (std::size_t i = 0; i < 6; ++i) {
    ASSERT_TRUE(hasStarted(i + 1));
    answer(i);
  }
  EXPECT_TRUE(getsResponses({ "/i0", "/i1", "/i2", "/i3", "/i4", "/i5" }));
}

// Guards against a head without an end.
TEST_F(PipelineLimitTest, EndlessHeadIsNotRead)
{
  send(get("/i0"));
  ASSERT_TRUE(hasStarted(1));
  const PeakMemory memory;
  send("GET /i1 HTTP/1.1\r\nHost: shop\r\n");
  for (int i = 0; i < 60; ++i) {
    send("X-" + std::to_string(i) + ": " + std::string(1000, 'x') + "\r\n");
  }
  settle();
  EXPECT_EQ(counters().mConnectionsAtLimit, 1U);
  EXPECT_LT(memory.growth(), std::size_t{ 4 } * 1024 * 1024);
  answer(0);
  EXPECT_TRUE(getsResponses({ "/i0" }));
}

// Guards against responses that grow without bound behind a slow first one.
TEST_F(PipelineLimitTest, WaitingResponsesAreBounded)
{
  constexpr std::size_t kPart = std::size_t{ 16 } * 1024;
  constexpr std::size_t kConnectionLimit = std::size_t{ 256 } * 1024;
  send(get("/i0") + get("/i1") + get("/i2") + get("/i3"));
  ASSERT_TRUE(hasStarted(4));
  const std::string part(kPart, 'x');
  for (std::size_t i = 1; i < 4; ++i) {
    HttpResponder& responder = *mReceived[i]->mResponder;
    responder.start({ 200, {}, std::size_t{ 1024 } * 1024 });
    while (responder.write(part) < kStreamBufferBytes) {
    }
  }
  EXPECT_LE(heldBytes(), kConnectionLimit + 3 * kPart);
  send(get("/i4"));
  EXPECT_TRUE(hasStarted(5)) << "three responses of 64 KiB leave room";
  HttpResponder& collected = *mReceived[4]->mResponder;
  std::size_t bytes = 0;
  while (collected.mayCollect(bytes += kPart)) {
  }
  EXPECT_LE(heldBytes(), kConnectionLimit + 3 * kPart);
  send(get("/i5"));
  settle();
  EXPECT_EQ(mReceived.size(), 5U) << "the connection holds too much";
  EXPECT_EQ(counters().mConnectionsAtLimit, 1U);
}

// Guards against many connections that together hold more than their share of the memory, and
// against a log line for each of them.
TEST_F(PipelineLimitTest, AllConnectionsTogetherAreBounded)
{
  std::vector<int> events;
  mServer->pipeline().setProcessLimit(std::size_t{ 64 } * 1024);
  mServer->pipeline().setOnEvent(
    [&](const Event& aEvent, const std::string&) { events.push_back(aEvent.mNumber); });
  send(get("/i0") + get("/i1"));
  ASSERT_TRUE(hasStarted(2));
  const int first = std::exchange(mCaller, -1);
  EXPECT_FALSE(mReceived[1]->mResponder->mayCollect(std::size_t{ 70 } * 1024));
  connect();
  send(get("/i2") + get("/i3"));
  ASSERT_TRUE(hasStarted(3));
  settle();
  EXPECT_EQ(mReceived.size(), 3U) << "the process holds too much";
  answer(2);
  answer(1);
  answer(0);
  ASSERT_TRUE(hasStarted(4));
  answer(3);
  EXPECT_TRUE(getsResponses({ "/i2", "/i3" }));
  ::close(first);
  settle();
  EXPECT_EQ(heldBytes(), 0U);
  EXPECT_EQ(events, (std::vector<int>{ 8010, 8011 }));
}

// Guards against a throttled connection that is forgotten, and against one that is taken for being
// read although it only waits for its response.
TEST_F(PipelineLimitTest, WorksTogetherWithTheInputThrottle)
{
  constexpr std::size_t kBody = std::size_t{ 1024 } * 1024;
  InputThrottle& throttle = mServer->inputThrottle();
  throttle.setLimits({ kBody / 8, kBody });
  mLoop.setAfterEvents([&throttle] { throttle.update(); });
  const std::string body(kBody / 2, 'x');
  std::vector<int> callers;
  for (int i = 0; i < 3; ++i) {
    send(get("/i0") + get("/i1"));
    ASSERT_TRUE(hasStarted(mReceived.size() + 2));
    answer(mReceived.size() - 1);
    answer(mReceived.size() - 2);
    ASSERT_TRUE(getsResponses({ "/i0", "/i1" }));
    send("POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: 1048576\r\n\r\n");
    send(std::string_view{ body }.substr(0, kBody / 4));
    callers.push_back(std::exchange(mCaller, -1));
    connect();
  }
  ASSERT_TRUE(runUntil([&] { return throttle.pausedConnections() == 2; }));
  const std::size_t before = mReceived.size();
  // A pipelining caller with a large complete request is served meanwhile.
  send(post("/order", std::string(kBody / 10, 'y')) + get("/i1") + get("/i2"));
  ASSERT_TRUE(hasStarted(before + 3));
  runFor(std::chrono::milliseconds(20));
  for (std::size_t i = before + 3; i-- > before;) {
    answer(i);
  }
  EXPECT_TRUE(getsResponses({ "/order", "/i1", "/i2" }));
  for (const int caller : callers) {
    ::close(caller);
  }
  EXPECT_TRUE(runUntil([&] { return throttle.pausedConnections() == 0; }));
  mLoop.setAfterEvents(nullptr);
}

} // namespace
} // namespace bulrushrun
