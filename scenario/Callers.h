#pragma once

#include "scenario/Simulation.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::scenario {

/// \brief Load and behaviour of the callers.
struct CallerOptions
{
  /// Requests per second over all zones and classes, open loop.
  double mRate = 100;
  /// Share of attempts that the caller gives up within 50 ms by closing its connection.
  double mDisconnectShare = 0;
  /// Share of requests with an idempotency key that are sent twice at the same time.
  double mDuplicateShare = 0;
};

/// \brief Callers in all zones: they look up an instance, cache the result for its time to live,
/// send requests, and retry those with an unknown outcome, under the same idempotency key.
class Callers
{
public:
  Callers(Simulation& aSimulation, const CallerOptions& aOptions, std::uint64_t aSeed);

  /// \brief Starts to send requests; no new ones are created after \a aEnd.
  void start(TimePoint aEnd);

private:
  struct RequestStream
  {
    ServiceKey mService;
    RequestClass mClass;
    ZoneName mZone;
  };
  struct Route
  {
    std::vector<Endpoint> mInstances;
    TimePoint mUntil;
  };
  /// One request with all its attempts.
  struct CallerRequest
  {
    RequestStream mStream;
    std::string mName;
    std::string mKey;
    TimePoint mDue;
    int mAttempts = 0;
    bool mDone = false;
  };
  using CallerRequestPtr = std::shared_ptr<CallerRequest>;
  /// One attempt of a request.
  struct Attempt
  {
    CallerRequestPtr mRequest;
    std::string mName;
    ResponseHead mHead;
    bool mHasHead = false;
    std::string mBody;
    bool mEnded = false;
    std::function<void()> mDisconnect;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void scheduleNext();
  void sendRequest(const RequestStream& aStream);
  void startAttempt(const CallerRequestPtr& aRequest);
  std::optional<Endpoint> lookupInstance(const RequestStream& aStream);
  std::optional<Route> requestRoute(const RequestStream& aStream, const std::string& aPath);
  HttpRequest makeHttpRequest(const Attempt& aAttempt) const;
  void onResponseEvent(const AttemptPtr& aAttempt, const ResponseEvent& aEvent);
  void onEnd(const AttemptPtr& aAttempt, ExchangeResult aResult);
  void onOutcome(const AttemptPtr& aAttempt, const std::string& aOutcome);
  void retry(const CallerRequestPtr& aRequest);
  static std::string classOf(const CallerRequest& aRequest);

  Simulation& mSimulation;
  CallerOptions mOptions;
  Random mRandom;
  std::vector<RequestStream> mStreams;
  std::map<std::string, Route> mRoutes;
  TimePoint mEnd;
  std::uint64_t mLast = 0;
};

} // namespace bulrushrun::scenario
