#pragma once

#include "bulrushrun/net/tests/RawByteServer.h"

#include <gtest/gtest.h>

#include <netinet/tcp.h>

#include <cerrno>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

/// A caller on a raw socket that sends several requests at once, and a server whose responses the
/// test sends. Paths that start with /i are idempotent.
class PipelineTest : public testing::Test
{
protected:
  /// A request as the handler got it.
  struct Received
  {
    HttpRequest mRequest;
    std::shared_ptr<HttpResponder> mResponder;
    bool mDisconnected = false;
  };
  static constexpr Duration kPatience = std::chrono::seconds(2);

  PipelineTest()
    : mServer(std::make_unique<HttpServer>(
        mLoop,
        kServer,
        HttpHandlers{ nullptr,
                      [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
                        onRequest(std::move(aRequest), std::move(aResponder));
                      },
                      true,
                      [this](const HttpRequest& aRequest) {
                        return !mDraining && aRequest.mPath.starts_with("/i");
                      } }))
  {
    connect();
  }
  ~PipelineTest() override
  {
    hangUp();
    runFor(std::chrono::milliseconds(5));
    for (const std::shared_ptr<Received>& received : mReceived) {
      received->mResponder->abort();
    }
    mServer->close();
    runFor(std::chrono::milliseconds(5));
  }

  void onRequest(HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder)
  {
    const std::shared_ptr<Received> received = std::make_shared<Received>();
    *received = { std::move(aRequest), std::move(aResponder) };
    received->mResponder->mOnDisconnect = [received] { received->mDisconnected = true; };
    mReceived.push_back(received);
  }
  void connect()
  {
    mBytes.clear();
    mEnded = false;
    mReset = false;
    mCaller = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(mCaller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const sockaddr_in address = socketAddress(kServer);
    ASSERT_EQ(::connect(mCaller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  }
  void hangUp()
  {
    if (mCaller >= 0) {
      ::close(std::exchange(mCaller, -1));
    }
  }
  /// Starts over on a new connection.
  void reconnect()
  {
    hangUp();
    for (const std::shared_ptr<Received>& received : mReceived) {
      received->mResponder->abort();
    }
    runFor(std::chrono::milliseconds(2));
    mReceived.clear();
    connect();
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
      runFor(Duration{ 100 });
    }
    return false;
  }
  /// Runs the server long enough for everything sent to be read.
  void settle() { runFor(std::chrono::milliseconds(5)); }
  void send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        ::send(mCaller, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN) {
        return;
      }
      aBytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
      runFor(Duration{ 0 });
    }
  }
  bool hasStarted(std::size_t aCount)
  {
    return runUntil([&] { return mReceived.size() >= aCount; });
  }
  /// Answers a request with its path as the body.
  void answer(std::size_t aIndex, bool aCloseAfter = false)
  {
    respond(*mReceived[aIndex]->mResponder,
            { { 200, {}, std::nullopt, aCloseAfter }, mReceived[aIndex]->mRequest.mPath });
  }
  /// Takes what the server has sent.
  void receive()
  {
    char part[65536];
    ssize_t size = 0;
    while ((size = ::recv(mCaller, part, sizeof(part), MSG_DONTWAIT)) > 0) {
      mBytes.append(part, static_cast<std::size_t>(size));
    }
    mReset = mReset || (size < 0 && errno == ECONNRESET);
    mEnded = mEnded || size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// \returns the bodies of the complete responses, in order, and "?" for bytes that are none.
  std::vector<std::string> bodies() const
  {
    std::vector<std::string> result;
    std::string_view rest = mBytes;
    while (!rest.empty()) {
      const std::size_t end = rest.find("\r\n\r\n");
      const std::size_t length = rest.find("Content-Length: ");
      if (!rest.starts_with("HTTP/1.1 ") || end == std::string_view::npos || length > end) {
        result.emplace_back("?");
        break;
      }
      const std::size_t size = std::stoul(std::string{ rest.substr(length + 16, 8) });
      result.emplace_back(rest.substr(end + 4, size));
      rest.remove_prefix(std::min(rest.size(), end + 4 + size));
    }
    return result;
  }
  /// \returns true when the caller gets these responses and nothing else.
  testing::AssertionResult getsResponses(const std::vector<std::string>& aBodies)
  {
    const bool complete = runUntil([&] {
      receive();
      return bodies() == aBodies;
    });
    return complete ? testing::AssertionSuccess() : testing::AssertionFailure() << mBytes;
  }
  bool isEnded()
  {
    return runUntil([this] {
      receive();
      return mEnded;
    });
  }
  std::vector<std::string> startedPaths() const
  {
    std::vector<std::string> paths;
    for (const std::shared_ptr<Received>& received : mReceived) {
      paths.push_back(received->mRequest.mPath);
    }
    return paths;
  }
  static std::string get(const std::string& aPath, const std::string& aHeaders = "")
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: shop\r\n" + aHeaders + "\r\n";
  }
  static std::string post(const std::string& aPath, const std::string& aBody)
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  }
  const PipelineCounters& counters() { return mServer->pipeline().account().counters(); }
  std::size_t heldBytes() { return mServer->pipeline().account().heldBytes(); }

  using Paths = std::vector<std::string>;

  EventLoop mLoop;
  std::unique_ptr<HttpServer> mServer;
  std::vector<std::shared_ptr<Received>> mReceived;
  int mCaller = -1;
  std::string mBytes;
  bool mEnded = false;
  bool mReset = false;
  bool mDraining = false;
};

} // namespace bulrushrun
