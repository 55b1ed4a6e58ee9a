#include "bulrushrun/net/tests/PipelineFixture.h"

#include <algorithm>
#include <array>

namespace bulrushrun {
namespace {

using PipelineOrderTest = PipelineTest;

// Guards against a response that is sent for another request: they complete in any order.
TEST_F(PipelineOrderTest, ResponsesComeInTheOrderOfTheRequests)
{
  std::array<std::size_t, 4> order{ 0, 1, 2, 3 };
  do {
    send(get("/i0") + get("/i1") + get("/i2") + get("/i3"));
    ASSERT_TRUE(hasStarted(4));
    ASSERT_EQ(startedPaths(), (Paths{ "/i0", "/i1", "/i2", "/i3" }));
    for (const std::size_t index : order) {
      answer(index);
      settle();
    }
    ASSERT_TRUE(getsResponses({ "/i0", "/i1", "/i2", "/i3" }));
    EXPECT_EQ(mServer->requestsInProgress(), 0U);
    EXPECT_EQ(heldBytes(), 0U);
    mBytes.clear();
    mReceived.clear();
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_EQ(counters().mMismatched, 0U);
}

// Guards against requests that are started twice, late or differently from how h2o reads them,
// wherever the caller's bytes are cut.
TEST_F(PipelineOrderTest, CutsAnywhereMakeNoDifference)
{
  const std::vector<std::string> texts{
    get("/i0?a=%20b", "X-Request-ID: A1\r\nConnection: keep-alive\r\nX-Mixed-Case: Vaa lue\r\n"),
    "HEAD /i1 HTTP/1.1\r\nhost: shop:80\r\nAccept: */*\r\nCookie: a=1\r\nCookie: b=2\r\n\r\n",
    "DELETE /i2 HTTP/1.1\r\nContent-Length: 0\r\nHost: Shop\r\nX-Tab: a\tb\r\n\r\n",
    get("/i3", "Authorization: Bearer k\r\n")
  };
  std::string bytes;
  std::vector<HttpRequest> alone;
  for (const std::string& text : texts) {
    bytes += text;
    reconnect();
    send(text);
    ASSERT_TRUE(hasStarted(1));
    alone.push_back(mReceived.front()->mRequest);
  }
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    reconnect();
    send(std::string_view{ bytes }.substr(0, cut));
    runFor(Duration{ 500 });
    send(std::string_view{ bytes }.substr(cut));
    // The request with a tab waits for its turn, and the one behind it for its response.
    ASSERT_TRUE(hasStarted(2)) << cut;
    answer(0);
    answer(1);
    ASSERT_TRUE(hasStarted(3)) << cut;
    answer(2);
    ASSERT_TRUE(hasStarted(4)) << cut;
    answer(3);
    ASSERT_TRUE(runUntil([&] {
      receive();
      return mBytes.ends_with("/i3");
    }))
      << cut << mBytes;
    ASSERT_EQ(mReceived.size(), 4U) << cut;
    for (std::size_t i = 0; i < alone.size(); ++i) {
      const HttpRequest& request = mReceived[i]->mRequest;
      EXPECT_EQ(request.mMethod, alone[i].mMethod);
      EXPECT_EQ(request.mPath, alone[i].mPath);
      EXPECT_EQ(request.mAuthority, alone[i].mAuthority);
      ASSERT_EQ(request.mHeaders.size(), alone[i].mHeaders.size());
      for (std::size_t h = 0; h < request.mHeaders.size(); ++h) {
        EXPECT_EQ(request.mHeaders[h].mName, alone[i].mHeaders[h].mName);
        EXPECT_EQ(request.mHeaders[h].mValue, alone[i].mHeaders[h].mValue);
      }
    }
  }
  EXPECT_EQ(counters().mMismatched, 0U);
  EXPECT_GE(counters().mStartedAhead, bytes.size());
}

// Guards against requests that are noticed only with the response to the first one, when the caller
// sends them later and byte by byte.
TEST_F(PipelineOrderTest, RequestsThatArriveLaterAreStarted)
{
  send(get("/i0"));
  ASSERT_TRUE(hasStarted(1));
  std::size_t started = 1;
  for (const char* path : { "/i1", "/i2", "/i3" }) {
    for (const char byte : get(path)) {
      send({ &byte, 1 });
      runFor(Duration{ 300 });
    }
    ASSERT_TRUE(hasStarted(++started)) << path;
  }
  for (const std::size_t index : { 3, 1, 0, 2 }) {
    answer(index);
  }
  EXPECT_TRUE(getsResponses({ "/i0", "/i1", "/i2", "/i3" }));
}

// Guards against a change for callers that wait for each response.
TEST_F(PipelineOrderTest, NothingIsReadAheadForCallersThatWait)
{
  for (int i = 0; i < 3; ++i) {
    send(get("/i"));
    ASSERT_TRUE(hasStarted(1));
    settle();
    answer(0);
    ASSERT_TRUE(getsResponses({ "/i" }));
    settle();
    mReceived.clear();
    mBytes.clear();
  }
  EXPECT_EQ(counters().mReadAhead, 0U);
}

// Guards against a body that is overwritten or moved while it is lent to the handler, and against
// waiting for a request that is not idempotent but the first one.
TEST_F(PipelineOrderTest, RequestsRunBehindALargeBodyInProgress)
{
  std::string body(300000, 'x');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i % 23);
  }
  const std::string chunked = "POST /order HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n"
                              "\r\n493e0\r\n" +
                              body + "\r\n0\r\n\r\n";
  for (const std::string& first : { post("/order", body), chunked }) {
    reconnect();
    send(first + get("/i1"));
    ASSERT_TRUE(hasStarted(2));
    for (int i = 2; i < 8; ++i) {
      send(get("/i" + std::to_string(i), "X-Padding: " + std::string(1000, 'p') + "\r\n"));
    }
    ASSERT_TRUE(hasStarted(8));
    EXPECT_EQ(mReceived.front()->mRequest.mBody.view(), body);
    for (std::size_t index = 8; index-- > 0;) {
      answer(index);
    }
    ASSERT_TRUE(getsResponses({ "/order", "/i1", "/i2", "/i3", "/i4", "/i5", "/i6", "/i7" }));
  }
}

// Guards against a request that is executed early, or twice, although it may run only once: it
// waits for its turn, and what is behind it for its response.
TEST_F(PipelineOrderTest, OtherRequestsWaitForTheirTurn)
{
  for (const std::string& other :
       { post("/order", "an order"), get("/order"), post("/i", "body") }) {
    reconnect();
    send(get("/i0") + get("/i1") + other + get("/i3") + get("/i4"));
    ASSERT_TRUE(hasStarted(2));
    settle();
    EXPECT_EQ(mReceived.size(), 2U);
    answer(1);
    answer(0);
    ASSERT_TRUE(hasStarted(3));
    settle();
    EXPECT_EQ(mReceived.size(), 3U) << "started behind a request that had to wait";
    answer(2);
    ASSERT_TRUE(hasStarted(5));
    answer(4);
    answer(3);
    ASSERT_TRUE(getsResponses(
      { "/i0", "/i1", mReceived[2]->mRequest.mPath, mReceived[3]->mRequest.mPath, "/i4" }));
    EXPECT_EQ(mReceived.size(), 5U);
  }
}

// Guards against request smuggling: what another parser may read differently is not started ahead,
// and nothing behind it.
TEST_F(PipelineOrderTest, AmbiguousRequestsAreNotStartedAhead)
{
  const std::string start = "GET /i1 HTTP/1.1\r\nHost: shop\r\n";
  for (const std::string& text :
       { start + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n",
         start + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
         start + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         start + "Transfer-Encoding : chunked\r\n\r\n",
         start + "Content-Length: +0\r\n\r\n",
         start + "X-A: 1\r\n folded\r\n\r\n",
         start + "X-A: 1\nX-B: 2\r\n\r\n",
         start + "X-A: 1\rX-B: 2\r\n\r\n",
         start + "X-A: \x01\r\n\r\n",
         start + "X-A: 1 \r\n\r\n",
         start + "X-A:\r\n\r\n",
         start + "X A: 1\r\n\r\n",
         start + "Host: other\r\n\r\n",
         start + "Expect: 100-continue\r\n\r\n",
         start + "Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
         start + "Connection: close, keep-alive\r\n\r\n",
         start + "Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n\r\n",
         std::string{ "GET /i1 HTTP/1.1\r\n\r\n" },
         std::string{ "GET /i1 HTTP/1.0\r\nHost: shop\r\nConnection: keep-alive\r\n\r\n" },
         std::string{ "GET /i/../1 HTTP/1.1\r\nHost: shop\r\n\r\n" },
         std::string{ "GET http://shop/i1 HTTP/1.1\r\nHost: shop\r\n\r\n" },
         std::string{ "GET  /i1 HTTP/1.1\r\nHost: shop\r\n\r\n" },
         std::string{ "LINK /i1 HTTP/1.1\r\nHost: shop\r\n\r\n" },
         std::string{ "\r\nGET /i1 HTTP/1.1\r\nHost: shop\r\n\r\n" },
         std::string{ "no request\r\n\r\n" } }) {
    reconnect();
    send(get("/i0") + text + get("/i2"));
    ASSERT_TRUE(hasStarted(1));
    settle();
    EXPECT_EQ(startedPaths(), (Paths{ "/i0" })) << text;
    answer(0);
    ASSERT_TRUE(runUntil([this] {
      receive();
      return mBytes.find("/i0") != std::string::npos;
    }))
      << text;
  }
  EXPECT_EQ(counters().mStartedAhead, 0U);
  EXPECT_EQ(counters().mMismatched, 0U);
}

} // namespace
} // namespace bulrushrun
