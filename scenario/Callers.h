#pragma once

#include "scenario/World.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::scenario {

/// \brief How callers behave.
struct CallerOptions
{
  /// Requests per second over all zones and classes, open loop.
  double mRate = 100;
  /// Share of callers that hang up before their answer comes.
  double mLeaveShare = 0;
  /// Share of requests with a key that are sent twice at once, to two instances.
  double mTwiceShare = 0;
};

/// \brief Callers in all zones: they look up an instance, keep the answer for its time to live,
/// send requests, and repeat under the same key what they do not know the outcome of.
class Callers
{
public:
  Callers(World& aWorld, const CallerOptions& aOptions, std::uint64_t aSeed);

  /// \brief Begins to send, until \a aEnd.
  void start(TimePoint aEnd);

private:
  struct Stream
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
  /// One request, over all its attempts.
  struct Call
  {
    Stream mStream;
    std::string mName;
    std::string mKey;
    TimePoint mDue;
    int mAttempts = 0;
    bool mDone = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  /// One attempt of a call.
  struct Attempt
  {
    CallPtr mCall;
    std::string mName;
    ResponseHead mHead;
    bool mHasHead = false;
    std::string mBody;
    bool mEnded = false;
    std::function<void()> mHangUp;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void next();
  void send(const Stream& aStream);
  void attempt(const CallPtr& aCall);
  std::optional<Endpoint> lookUp(const Stream& aStream);
  std::optional<Route> askAnInstance(const Stream& aStream, const std::string& aPath);
  HttpRequest requestOf(const Attempt& aAttempt) const;
  void onReply(const AttemptPtr& aAttempt, const ReplyEvent& aEvent);
  void onEnd(const AttemptPtr& aAttempt, ExchangeResult aEnd);
  void onOutcome(const AttemptPtr& aAttempt, const std::string& aOutcome);
  void again(const CallPtr& aCall);
  static std::string classOf(const Call& aCall);

  World& mWorld;
  CallerOptions mOptions;
  Random mRandom;
  std::vector<Stream> mStreams;
  std::map<std::string, Route> mRoutes;
  TimePoint mEnd;
  std::uint64_t mLast = 0;
};

} // namespace bulrushrun::scenario
