#pragma once

#include "bulrushrun/configuration.h"
#include "bulrushrun/metrics.h"
#include "bulrushrun/net.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::load {

/// \brief What became of the requests of one class.
struct ClassCounters
{
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mTruncated = 0;
  std::uint64_t mRepeated = 0;
  /// From the scheduled arrival to the end of the answer.
  std::vector<Duration> mLatencies;
};

/// \brief One kind of request that callers of one zone send.
struct RequestStream
{
  ServiceKey mService;
  RequestClass mClass;
  ZoneName mZone;
};

/// \brief Callers of a deployment: they look up an instance, keep the answer for its time to live,
/// send requests, and repeat what may be repeated.
class LoadGenerator
{
public:
  LoadGenerator(EventLoop& aLoop, std::vector<Endpoint> aInstances, Random aRandom);

  /// \brief Sends one request that was due at \a aDue.
  void send(const RequestStream& aStream, TimePoint aDue);

  /// \brief \returns requests without an end.
  std::size_t pending() const { return mPending; }
  /// \brief \returns the tallies by service and class.
  const std::map<std::string, ClassCounters>& countersByClass() const { return mCounters; }

private:
  /// Look-up answer that is kept for its time to live.
  struct Route
  {
    std::vector<std::pair<Endpoint, std::uint64_t>> mInstances;
    TimePoint mUntil;
  };

  /// One request, over all its attempts.
  struct Call
  {
    RequestStream mStream;
    TimePoint mDue;
    std::string mKey;
    int mAttempts = 0;
    ResponseHead mHead;
    std::uint64_t mBytes = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  void lookUp(const CallPtr& aCall);
  void onLookUp(const CallPtr& aCall, const std::string& aPath, const HttpResponse& aResponse);
  void attempt(const CallPtr& aCall, const Route& aRoute);
  void onEnd(const CallPtr& aCall, ExchangeResult aEnd);
  void retry(const CallPtr& aCall);
  void end(const CallPtr& aCall, std::uint64_t ClassCounters::*aCounter);
  ClassCounters& counters(const RequestStream& aStream);

  EventLoop& mLoop;
  HttpClient mClient;
  std::vector<Endpoint> mInstances;
  Random mRandom;
  std::map<std::string, Route> mRoutes;
  std::map<std::string, ClassCounters> mCounters;
  std::size_t mPending = 0;
};

} // namespace bulrushrun::load
