#include "bulrushrun/net/tests/PipelineFixture.h"

namespace bulrushrun {
namespace {

using PipelineEndTest = PipelineTest;

// Guards against requests that are started behind a response that closes the connection, and then
// sent again by the caller.
TEST_F(PipelineEndTest, NothingIsStartedBehindARequestThatClosesTheConnection)
{
  const std::string http10 = "GET /i0 HTTP/1.0\r\nHost: shop\r\n\r\n";
  for (const std::string& first : { get("/i0", "Connection: close\r\n"), http10 }) {
    reconnect();
    send(first + get("/i1"));
    ASSERT_TRUE(hasStarted(1));
    settle();
    EXPECT_EQ(startedPaths(), (Paths{ "/i0" }));
    answer(0);
    EXPECT_TRUE(isEnded());
    EXPECT_EQ(bodies(), (Paths{ "/i0" }));
  }
  reconnect();
  send(get("/i0") + get("/i1", "Connection: close\r\n") + get("/i2"));
  ASSERT_TRUE(hasStarted(2));
  settle();
  EXPECT_EQ(startedPaths(), (Paths{ "/i0", "/i1" }));
  answer(1);
  answer(0);
  EXPECT_TRUE(isEnded());
  EXPECT_EQ(bodies(), (Paths{ "/i0", "/i1" }));
}

// Guards against responses that are lost because an earlier one closes the connection: while the
// instance drains, only the last started request may close it.
TEST_F(PipelineEndTest, DrainClosesTheConnectionAfterTheLastStartedRequest)
{
  for (const bool serverCloses : { false, true }) {
    reconnect();
    mDraining = false;
    send(get("/i0") + get("/i1") + get("/i2"));
    ASSERT_TRUE(hasStarted(3));
    mDraining = true;
    send(get("/i3") + post("/order", "an order"));
    settle();
    if (serverCloses) {
      mServer->close();
    }
    for (const std::size_t index : { 1, 0, 2 }) {
      answer(index, true);
      settle();
    }
    EXPECT_TRUE(isEnded());
    EXPECT_EQ(bodies(), (Paths{ "/i0", "/i1", "/i2" }));
    EXPECT_EQ(startedPaths(), (Paths{ "/i0", "/i1", "/i2" }));
    EXPECT_EQ(mBytes.find("Connection: close"), mBytes.rfind("Connection: "));
    EXPECT_FALSE(mReset) << "a reset may overtake the last response";
  }
  EXPECT_EQ(mServer->requestsInProgress(), 0U);
}

// Guards against a server that ends while responses wait for their turn.
TEST_F(PipelineEndTest, WaitingResponsesCountAsInProgress)
{
  send(get("/i0") + get("/i1"));
  ASSERT_TRUE(hasStarted(2));
  answer(1);
  settle();
  EXPECT_EQ(mServer->requestsInProgress(), 2U);
  answer(0);
  EXPECT_TRUE(getsResponses({ "/i0", "/i1" }));
  settle();
  EXPECT_EQ(mServer->requestsInProgress(), 0U);
}

// Guards against work for a caller that has left, with unread requests before the end of its
// stream.
TEST_F(PipelineEndTest, CallerThatLeavesEndsAllItsRequests)
{
  for (const bool resets : { false, true }) {
    reconnect();
    send(get("/i0") + get("/i1") + get("/i2") + post("/order", "an order") + get("/i4"));
    ASSERT_TRUE(hasStarted(3));
    for (const std::shared_ptr<Received>& received : mReceived) {
      EXPECT_FALSE(received->mResponder->isDisconnected());
    }
    answer(2);
    const linger option{ resets ? 1 : 0, 0 };
    ::setsockopt(mCaller, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    hangUp();
    settle();
    EXPECT_TRUE(mReceived[0]->mResponder->isDisconnected());
    EXPECT_TRUE(mReceived[1]->mResponder->isDisconnected());
    // As the proxy does when it notices.
    mReceived[0]->mResponder->abort();
    ASSERT_TRUE(runUntil([this] { return mServer->requestsInProgress() == 0; }));
    EXPECT_TRUE(mReceived[1]->mDisconnected);
    EXPECT_FALSE(mReceived[2]->mDisconnected) << "its response was complete";
    settle();
    EXPECT_EQ(mReceived.size(), 3U) << "started for a caller that has left";
    EXPECT_EQ(heldBytes(), 0U);
  }
}

// Guards against a truncated response that the following one completes.
TEST_F(PipelineEndTest, BrokenResponseEndsTheConnection)
{
  send(get("/i0") + get("/i1") + get("/i2"));
  ASSERT_TRUE(hasStarted(3));
  answer(2);
  mReceived[0]->mResponder->start({ 200, {}, 10 });
  mReceived[0]->mResponder->write("half");
  settle();
  mReceived[0]->mResponder->abort();
  EXPECT_TRUE(isEnded());
  EXPECT_EQ(bodies(), (Paths{ "half" }));
  EXPECT_TRUE(mReceived[1]->mDisconnected);
  EXPECT_EQ(counters().mAbandoned, 2U);
}

// Guards against a waiting response that breaks off and is sent as a complete one.
TEST_F(PipelineEndTest, WaitingResponseThatBreaksIsBrokenInItsTurn)
{
  send(get("/i0") + get("/i1") + get("/i2"));
  ASSERT_TRUE(hasStarted(3));
  mReceived[1]->mResponder->start({ 200, {}, 10 });
  mReceived[1]->mResponder->write("half");
  mReceived[1]->mResponder->abort();
  answer(2);
  settle();
  answer(0);
  EXPECT_TRUE(isEnded());
  EXPECT_EQ(bodies(), (Paths{ "/i0", "half" }));
}

// Guards against a refused or invalid request in the middle that takes others with it.
TEST_F(PipelineEndTest, InvalidRequestClosesTheConnectionAfterItsOwnResponse)
{
  send(get("/i0") + get("/i1") + get("/i/../2") + get("/i3"));
  ASSERT_TRUE(hasStarted(2));
  answer(1);
  answer(0);
  EXPECT_TRUE(isEnded());
  ASSERT_EQ(bodies().size(), 3U) << mBytes;
  EXPECT_NE(mBytes.find("HTTP/1.1 400 "), std::string::npos);
  EXPECT_EQ(mReceived.size(), 2U);
}

// Guards against a streamed response that mixes with the ones behind it, and one that stalls
// because nothing resumes it once the earlier responses have been sent.
TEST_F(PipelineEndTest, StreamedResponsesWaitAndResume)
{
  send(get("/i0") + get("/i1"));
  ASSERT_TRUE(hasStarted(2));
  bool resumed = false;
  mReceived[1]->mResponder->mOnWritable = [&] { resumed = true; };
  mReceived[1]->mResponder->start({ 200, {}, 8 });
  mReceived[1]->mResponder->write("1111");
  mReceived[0]->mResponder->start({ 200, {}, 8 });
  mReceived[0]->mResponder->write("0000");
  settle();
  EXPECT_FALSE(resumed);
  mReceived[0]->mResponder->write("0000");
  mReceived[0]->mResponder->finish();
  ASSERT_TRUE(runUntil([&] { return resumed; }));
  mReceived[1]->mResponder->write("1111");
  mReceived[1]->mResponder->finish();
  EXPECT_TRUE(getsResponses({ "00000000", "11111111" }));
}

} // namespace
} // namespace bulrushrun
