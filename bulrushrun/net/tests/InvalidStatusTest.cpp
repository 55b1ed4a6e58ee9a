#include "bulrushrun/net/tests/StrayResponseFixture.h"

namespace bulrushrun {
namespace {

class InvalidStatusTest : public StrayResponseTest
{
protected:
  std::shared_ptr<ObservedExchange> receive(const std::string& aStatusLine,
                                            const std::string& aExpectedId = "")
  {
    // Without kept connections.
    mClient = std::make_unique<HttpClient>(mLoop);
    const std::shared_ptr<ObservedExchange> exchange = start(aExpectedId);
    acceptConnection();
    receiveRequest();
    write(aStatusLine + "\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");
    runFor(std::chrono::milliseconds(20));
    // A server that goes on with a valid response remains faulty.
    write(response("1", "late"));
    EXPECT_TRUE(hasEnded(*exchange));
    return exchange;
  }
};

// Guards against forwarding a status that no caller understands, and against waiting until the
// deadline, or for another response, because such a status is taken for an interim one.
TEST_F(InvalidStatusTest, IsNoResponse)
{
  for (const char* line : { "HTTP/1.1 000 Trouble",
                            "HTTP/1.1 000",
                            "HTTP/1.1 0 Trouble",
                            "HTTP/1.1 1 Trouble",
                            "HTTP/1.1 20 Trouble",
                            "HTTP/1.1 99 Trouble",
                            "HTTP/1.1 099 Trouble",
                            "HTTP/1.1 600 Trouble",
                            "HTTP/1.1 999 Trouble",
                            "HTTP/1.1 1000 Trouble",
                            "HTTP/1.1 -1 Trouble",
                            "HTTP/1.1 OK",
                            "HTTP/1.1 ",
                            "HTTP/1.1" }) {
    SCOPED_TRACE(line);
    for (const char* expectedId : { "", "1" }) {
      const std::shared_ptr<ObservedExchange> exchange = receive(line, expectedId);
      EXPECT_EQ(exchange->mResult, ExchangeResult::Interrupted);
      EXPECT_EQ(exchange->mBody, "") << "the bytes behind it belong to no request";
      EXPECT_TRUE(isClosed()) << "the server is faulty";
    }
  }
}

// Guards against refusing the statuses at the ends of the valid ranges.
TEST_F(InvalidStatusTest, BoundsOfTheValidRangesAreAccepted)
{
  for (const int status : { 200, 599 }) {
    const std::shared_ptr<ObservedExchange> exchange =
      receive("HTTP/1.1 " + std::to_string(status) + " Status");
    EXPECT_EQ(exchange->mResult, ExchangeResult::Complete) << status;
    EXPECT_EQ(exchange->mHead.mStatus, status);
  }
  for (const int status : { 100, 199 }) {
    const std::shared_ptr<ObservedExchange> exchange =
      receive("HTTP/1.1 " + std::to_string(status) + " Status");
    EXPECT_EQ(exchange->mResult, ExchangeResult::Complete) << status;
    EXPECT_EQ(exchange->mHead.mStatus, 200) << status;
  }
}

} // namespace
} // namespace bulrushrun
