#pragma once

#include "bulrushrun/configuration.h"
#include "bulrushrun/metrics.h"
#include "bulrushrun/net.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::load {

/// \brief Outcomes of the requests of one class.
struct ClassCounters
{
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mTruncated = 0;
  std::uint64_t mRetried = 0;
  /// From the scheduled arrival to the end of the response.
  std::vector<Duration> mLatencies;
};

/// \brief Requests of one class that the callers of one zone send to a service.
struct RequestStream
{
  ServiceKey mService;
  RequestClass mClass;
  ZoneName mZone;
};

/// \brief Simulates the callers of a deployment: they look up an instance, cache the response for
/// its time to live, send requests, and retry those that may be retried.
class LoadGenerator
{
public:
  LoadGenerator(EventLoop& aLoop, std::vector<Endpoint> aInstances, Random aRandom);

  /// \brief Sends one request that was scheduled for \a aDue.
  void send(const RequestStream& aStream, TimePoint aDue);

  /// \brief \returns the number of requests in progress.
  std::size_t pending() const { return mPending; }
  /// \brief \returns the counters by service and class.
  const std::map<std::string, ClassCounters>& countersByClass() const { return mCounters; }

private:
  /// Cached response to a lookup.
  struct CachedLookup
  {
    std::vector<std::pair<Endpoint, std::uint64_t>> mInstances;
    TimePoint mExpiresAt;
  };

  /// One request, including all its attempts.
  struct Call
  {
    RequestStream mStream;
    TimePoint mDue;
    std::string mIdempotencyKey;
    int mAttempts = 0;
    ResponseHead mHead;
    std::uint64_t mBytes = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  void findInstances(const CallPtr& aCall);
  void onLookupResponse(const CallPtr& aCall,
                        const std::string& aPath,
                        const HttpResponse& aResponse);
  void attempt(const CallPtr& aCall, const CachedLookup& aLookup);
  void onEnd(const CallPtr& aCall, ExchangeResult aResult);
  void retry(const CallPtr& aCall);
  void finish(const CallPtr& aCall, std::uint64_t ClassCounters::*aCounter);
  ClassCounters& counters(const RequestStream& aStream);

  EventLoop& mLoop;
  HttpClient mClient;
  std::vector<Endpoint> mInstances;
  Random mRandom;
  std::map<std::string, CachedLookup> mLookupCache;
  std::map<std::string, ClassCounters> mCounters;
  std::size_t mPending = 0;
};

} // namespace bulrushrun::load
