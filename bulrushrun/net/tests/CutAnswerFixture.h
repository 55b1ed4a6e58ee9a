#pragma once

#include "bulrushrun/net/tests/CutAnswerServer.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace bulrushrun {

/// Guards against taking a part of an answer as the whole: a server may stop at any byte.
struct CutAnswerTest : testing::Test
{
  struct Received
  {
    ResponseHead mHead;
    std::string mBody;
    std::optional<ExchangeResult> mResult;
  };

  Received receive(const std::string& aBytes,
                   Cut aCut = Cut::CloseAfterOneWrite,
                   const std::string& aMethod = "GET",
                   bool aMayEndAtClose = true,
                   const std::string& aRequestBody = "")
  {
    mServer.setAnswer(aBytes, aCut);
    Received received;
    {
      HttpClient client{ mLoop };
      ExchangeListener listener;
      listener.mBodyMayEndAtClose = aMayEndAtClose;
      listener.mOnHead = [&](const ResponseHead& aHead) { received.mHead = aHead; };
      listener.mOnBody = [&](std::string_view aBody) {
        received.mBody.append(aBody);
        return true;
      };
      listener.mOnEnd = [&](ExchangeResult aResult, const std::string&) {
        received.mResult = aResult;
        mLoop.stop();
      };
      client.start(
        kPeer, { aMethod, "/", {}, aRequestBody }, ConnectionUse::Pooled, std::move(listener));
      mLoop.run();
      destroyClosedConnections();
    }
    return received;
  }
  void destroyClosedConnections()
  {
    mLoop.after(Duration{ 0 }, [this] { mLoop.stop(); });
    mLoop.run();
  }

  EventLoop mLoop;
  CutAnswerServer mServer;
};

/// Answers whose framing is in doubt.
struct DoubtfulFramingTest : CutAnswerTest
{
  void expectRefused(const std::string& aHeaders, const std::string& aBody)
  {
    for (const bool mayEndAtClose : { false, true }) {
      for (const Cut cut : { Cut::CloseAfterOneWrite, Cut::CloseAfterSingleBytes }) {
        const std::string bytes = "HTTP/1.1 200 OK\r\n" + aHeaders + "\r\n" + aBody;
        EXPECT_EQ(*receive(bytes, cut, "GET", mayEndAtClose).mResult, ExchangeResult::Interrupted)
          << aHeaders;
      }
    }
  }
};

} // namespace bulrushrun
