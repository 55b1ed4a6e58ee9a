#pragma once

#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>

namespace bulrushrun {

inline constexpr Duration kPatience = std::chrono::seconds(5);

/// One exchange as its listener saw it.
struct ObservedExchange
{
  ResponseHead mHead;
  std::string mBody;
  std::optional<ExchangeResult> mResult;
  std::string mReason;
};

inline std::string response(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nX-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string chunkedResponse(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nX-Id: " + aId + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::to_string(aBody.size()) + "\r\n" + aBody + "\r\n0\r\n\r\n";
}

/// Guards against taking bytes that a server wrote for an earlier request for the response to the
/// next one on the same connection. The test is the server, so that it decides when bytes arrive.
class StrayResponseTest : public testing::Test
{
protected:
  StrayResponseTest()
    : mListener(openListener(kPeer))
  {
    mClient->setOnStrayBytes([this](const Endpoint& aEndpoint) {
      EXPECT_EQ(aEndpoint, kPeer);
      ++mStrayBytesReports;
    });
  }
  ~StrayResponseTest() override
  {
    mClient.reset();
    runFor(Duration{ 0 });
    if (mServerSide >= 0) {
      ::close(mServerSide);
    }
    ::close(mListener);
  }

  void runFor(Duration aSpan)
  {
    mLoop.after(aSpan, [this] { mLoop.stop(); });
    mLoop.run();
  }
  template<class Condition>
  bool runUntil(Condition aCondition)
  {
    for (const TimePoint end = EventLoop::now() + kPatience; EventLoop::now() < end;) {
      if (aCondition()) {
        return true;
      }
      runFor(std::chrono::milliseconds(1));
    }
    return false;
  }
  /// Starts an exchange that accepts only responses with this id; any response if it is empty.
  std::shared_ptr<ObservedExchange> start(const std::string& aId, const HttpRequest& aRequest)
  {
    const std::shared_ptr<ObservedExchange> seen = std::make_shared<ObservedExchange>();
    ExchangeListener listener;
    listener.mBodyMayEndAtClose = true;
    if (!aId.empty()) {
      listener.mIsMatchingResponse = [aId](const ResponseHead& aHead) {
        const std::string* id = findHeader(aHead.mHeaders, "X-Id");
        return id != nullptr && *id == aId;
      };
    }
    listener.mOnHead = [seen](const ResponseHead& aHead) { seen->mHead = aHead; };
    listener.mOnBody = [seen](std::string_view aBytes) {
      seen->mBody.append(aBytes);
      return true;
    };
    listener.mOnEnd = [seen](ExchangeResult aResult, const std::string& aReason) {
      seen->mResult = aResult;
      seen->mReason = aReason;
    };
    mClient->start(kPeer, aRequest, ConnectionUse::Pooled, std::move(listener));
    return seen;
  }
  std::shared_ptr<ObservedExchange> start(const std::string& aId)
  {
    return start(aId, { "GET", "/", {}, {} });
  }
  /// Accepts the connection that the client opened.
  void acceptConnection()
  {
    if (mServerSide >= 0) {
      ::close(mServerSide);
    }
    ASSERT_TRUE(runUntil([this] {
      mServerSide = ::accept(mListener, nullptr, nullptr);
      return mServerSide >= 0;
    }))
      << "the client opened no connection";
  }
  bool hasNewConnection()
  {
    const int connection = ::accept(mListener, nullptr, nullptr);
    if (connection >= 0) {
      ::close(connection);
    }
    return connection >= 0;
  }
  void receiveRequest()
  {
    std::string request;
    ASSERT_TRUE(runUntil([&] {
      std::array<char, 4096> part{};
      const ssize_t size = ::recv(mServerSide, part.data(), part.size(), MSG_DONTWAIT);
      request.append(part.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
      return request.ends_with("\r\n\r\n");
    }))
      << "no request arrived: " << request;
  }
  void write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        ::send(mServerSide, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN) {
        return;
      }
      aBytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
      runFor(Duration{ 0 });
    }
  }
  bool hasEnded(const ObservedExchange& aExchange)
  {
    return runUntil([&] { return aExchange.mResult.has_value(); });
  }
  /// \returns true when the client closed the connection.
  bool isClosed()
  {
    return runUntil([this] {
      char byte = 0;
      const ssize_t size = ::recv(mServerSide, &byte, 1, MSG_DONTWAIT);
      return size == 0 || (size < 0 && errno != EAGAIN);
    });
  }
  /// Completes one exchange, so that its connection is kept.
  void keepConnection(const std::string& aMethod = "GET")
  {
    const std::shared_ptr<ObservedExchange> first = start("1", { aMethod, "/", {}, {} });
    acceptConnection();
    receiveRequest();
    write(aMethod == "HEAD" ? "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nX-Id: 1\r\n"
                              "Content-Length: 5\r\n\r\n"
                            : response("1", "first"));
    ASSERT_TRUE(hasEnded(*first));
    ASSERT_EQ(first->mResult, ExchangeResult::Complete);
  }
  /// Sends a second request on the kept connection.
  std::shared_ptr<ObservedExchange> startOnKeptConnection()
  {
    keepConnection();
    const std::shared_ptr<ObservedExchange> second = start("2");
    receiveRequest();
    return second;
  }

  EventLoop mLoop;
  std::unique_ptr<HttpClient> mClient = std::make_unique<HttpClient>(mLoop);
  int mListener;
  int mServerSide = -1;
  int mStrayBytesReports = 0;
};

} // namespace bulrushrun
