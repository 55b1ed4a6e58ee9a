#include "bulrushrun/net/tests/StrayResponseFixture.h"

namespace bulrushrun {
namespace {

class IdleConnectionTest : public StrayResponseTest
{};

// Bytes after a complete response must not wait on the connection for the next request.
TEST_F(IdleConnectionTest, ExtraResponseInTheSameSegmentClosesTheConnection)
{
  const std::shared_ptr<ObservedExchange> first = start("1");
  acceptConnection();
  receiveRequest();
  write(response("1", "first") + response("1", "again"));
  ASSERT_TRUE(hasEnded(*first));
  EXPECT_EQ(first->mBody, "first");
  EXPECT_TRUE(isClosed());
  EXPECT_EQ(mStrayBytesReports, 1);
}

// The same with a pause between the two.
TEST_F(IdleConnectionTest, LaterExtraResponseClosesTheConnection)
{
  keepConnection();
  write(response("1", "again"));
  EXPECT_TRUE(isClosed());
  EXPECT_EQ(mStrayBytesReports, 1);
}

// Bytes that arrived before the request was written can't be its response, whoever wrote them.
TEST_F(IdleConnectionTest, PendingBytesAreNotTheResponseToTheNextRequest)
{
  keepConnection();
  const std::string stray = response("1", "stray");
  ASSERT_EQ(::send(mServerSide, stray.data(), stray.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(stray.size()));
  const std::shared_ptr<ObservedExchange> second = start("");
  acceptConnection();
  receiveRequest();
  write(response("2", "second"));
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Complete);
  EXPECT_EQ(second->mBody, "second");
  EXPECT_EQ(mStrayBytesReports, 1);
}

// A request must not be lost on a connection whose end has already arrived.
TEST_F(IdleConnectionTest, PendingEndOfTheConnectionDoesNotCostARequest)
{
  keepConnection();
  ::shutdown(mServerSide, SHUT_RDWR);
  const std::shared_ptr<ObservedExchange> second = start("2");
  acceptConnection();
  receiveRequest();
  write(response("2", "second"));
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Complete) << second->mReason;
  EXPECT_EQ(mStrayBytesReports, 0) << "an end is no fault";
}

// A caller that asks for a new connection must not get a kept one.
TEST_F(IdleConnectionTest, NewConnectionIsOpenedOnRequest)
{
  keepConnection();
  ExchangeListener listener;
  listener.mOnEnd = [](ExchangeResult, const std::string&) {};
  mClient->start(kPeer, { "GET", "/", {}, {} }, ConnectionUse::New, listener);
  EXPECT_TRUE(runUntil([this] { return hasNewConnection(); }));
}

class OwnResponseTest : public StrayResponseTest
{};

// A refusal that is cut states nothing: the exchange must not count as complete.
TEST_F(OwnResponseTest, CutRefusalIsInterrupted)
{
  const std::shared_ptr<ObservedExchange> second = startOnKeptConnection();
  write("HTTP/1.1 503 Service Unavailable\r\nX-Id: 2\r\nX-Not-Executed: 1\r\n"
        "Content-Length: 8\r\n\r\ndecl");
  ::shutdown(mServerSide, SHUT_WR);
  ASSERT_TRUE(hasEnded(*second));
  EXPECT_EQ(second->mResult, ExchangeResult::Interrupted);
}

// The rest of a body must not be taken for the next request on the connection.
TEST_F(OwnResponseTest, ConnectionIsClosedWhenTheResponseComesBeforeTheWholeRequestWasSent)
{
  const std::shared_ptr<ObservedExchange> first =
    start("1", { "POST", "/", {}, std::string(std::size_t{ 16 } * 1024 * 1024, 'x') });
  acceptConnection();
  runFor(std::chrono::milliseconds(20));
  write("HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(hasEnded(*first));
  EXPECT_EQ(first->mResult, ExchangeResult::Complete);
  const std::shared_ptr<ObservedExchange> second = start("2");
  acceptConnection();
  receiveRequest();
}

} // namespace
} // namespace bulrushrun
