#pragma once

#include "bulrushrun/steering/tests/FleetSimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun::steering_test {

/// One instance that is stopped by plan while requests arrive. Its targets have slots and a queue,
/// and stop work at the time limit that they receive, as the platform's targets do.
class PlannedStopFixture : public ::testing::Test
{
protected:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kGrace = std::chrono::seconds(6);
  static constexpr Duration kCallerTimeout = std::chrono::seconds(10);
  static constexpr int kSlots = 4;

  /// A request, as its caller sees it.
  struct Call
  {
    std::string mId;
    TimePoint mSent;
    std::shared_ptr<RecordingResponder> mResponder;
    /// When it was passed on, and the time limit that the target got.
    std::optional<TimePoint> mPassedOn;
    Duration mLimit{ 0 };
    std::optional<TimePoint> mEnded;

    bool hasTargetsAnswer() const
    {
      return findHeader(mResponder->mHead.mHeaders, "X-Response-Signature") != nullptr;
    }
  };

  void start(const std::string& aKind, Duration aWork)
  {
    mWork = aWork;
    mSimulation.mStore.put("op",
                           "config",
                           R"({"version":"r1","routes":[{"name":"r1","host":"shop",)"
                           R"("pathPrefix":"/a/","kind":")" +
                             aKind +
                             R"(","timeoutMs":12000,"service":"s","maxAttempts":2}],)"
                             R"("services":[{"name":"s","coldStartS":0,"coldPerS":100}],)"
                             R"("limits":{}})");
    for (const char* target : { "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8" }) {
      mSimulation.putTarget(target, "ready", kSlots);
    }
    mSimulation.add("n1", "za").start();
    mSimulation.run(std::chrono::seconds(2));
  }
  /// Plays calm traffic, so that the instance has observed how long the work takes.
  void warmUp()
  {
    for (int i = 0; i < 30; ++i) {
      send("warm-" + std::to_string(i));
      run(std::max(mWork / 8, kStep));
    }
    run(2 * mWork);
    mCalls.clear();
  }
  Call& send(const std::string& aId)
  {
    HttpRequest request;
    request.mMethod = "GET";
    request.mPath = "/a/x";
    request.mAuthority = "shop";
    request.mHeaders = { { "X-Request-Id", aId },
                         { "X-Request-Timeout-Ms", std::to_string(toMillis(kCallerTimeout)) } };
    Call& call = mCalls[aId];
    call = { aId, mSimulation.now(), std::make_shared<RecordingResponder>(), {}, {}, {} };
    RecordingResponder* responder = call.mResponder.get();
    responder->mOnEnd = [this, aId](bool) { mCalls[aId].mEnded = mSimulation.now(); };
    mSimulation.node("n1").handleCaller(request, call.mResponder);
    return call;
  }
  void stop()
  {
    mStoppedAt = mSimulation.now();
    mSimulation.node("n1").stop();
  }
  /// Sends requests at an interval until the process has ended, at the latest by its kill.
  void sendUntilTheEnd(Duration aInterval)
  {
    for (int i = 0; !hasExited() && mSimulation.now() < mStoppedAt + kGrace; ++i) {
      send("stop-" + std::to_string(i));
      run(aInterval);
    }
  }
  void run(Duration aDuration)
  {
    for (Duration passed{ 0 }; passed < aDuration && !hasExited(); passed += kStep) {
      mSimulation.run(kStep);
      workAtTargets();
    }
  }
  bool hasExited() const { return mSimulation.mExitedAt.contains("n1"); }
  TimePoint exitedAt() const { return mSimulation.mExitedAt.at("n1"); }

  FleetSimulation mSimulation;
  TimePoint mStoppedAt;
  std::map<std::string, Call> mCalls;
  /// Targets that get requests and never answer.
  bool mSilent = false;
  Duration mWork{ 0 };

private:
  struct Job
  {
    std::string mId;
    ExchangeId mExchange;
    TimePoint mLimit;
    std::optional<TimePoint> mStarted;
  };

  void acceptAtTargets()
  {
    for (const ExchangeId exchange : mSimulation.targetExchanges()) {
      if (!mSeen.insert(exchange.value()).second) {
        continue;
      }
      const Headers& headers = mSimulation.exchange(exchange).mRequest.mHeaders;
      const std::string id = *findHeader(headers, "X-Request-Id");
      const Duration limit =
        std::chrono::milliseconds(std::stoi(*findHeader(headers, "X-Request-Timeout-Ms")));
      mCalls[id].mPassedOn = mSimulation.now();
      mCalls[id].mLimit = limit;
      mJobs[*findHeader(headers, "X-Target-Instance")].push_back(
        { id, exchange, mSimulation.now() + limit, std::nullopt });
    }
  }
  void workAtTargets()
  {
    acceptAtTargets();
    for (auto& [target, jobs] : mJobs) {
      std::vector<Job> remaining;
      for (Job& job : jobs) {
        if (remaining.size() < kSlots && !job.mStarted) {
          job.mStarted = mSimulation.now();
        }
        if (mSilent || !end(job)) {
          remaining.push_back(job);
        }
      }
      jobs = std::move(remaining);
    }
  }
  /// \returns true when the target has answered, or the exchange is gone.
  bool end(const Job& aJob)
  {
    const std::vector<ExchangeId> pending = mSimulation.targetExchanges();
    if (std::find(pending.begin(), pending.end(), aJob.mExchange) == pending.end()) {
      return true;
    }
    const Headers signature{ { "X-Response-Signature", "sig" } };
    if (aJob.mStarted && mSimulation.now() >= *aJob.mStarted + mWork) {
      mSimulation.respondTo(aJob.mExchange, 200, signature, "body");
      return true;
    }
    if (mSimulation.now() < aJob.mLimit) {
      return false;
    }
    if (aJob.mStarted) {
      mSimulation.respondTo(aJob.mExchange, 504, signature, "the time limit passed");
    } else {
      mSimulation.respondTo(aJob.mExchange, 503, { { "X-Not-Executed", "1" } }, "not run");
    }
    return true;
  }

  std::map<std::string, std::vector<Job>> mJobs;
  std::set<std::uint64_t> mSeen;
};

} // namespace bulrushrun::steering_test
