#pragma once

#include "bulrushrun/net.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bulrushrun::standins {

/// \brief Options of a registered target.
struct RegisteredTargetOptions
{
  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots = 4;
  /// Mean execution time; the times are exponentially distributed.
  Duration mExecutionTime = std::chrono::milliseconds(10);
  /// Size in bytes of the response body to a large request; other responses are short.
  std::size_t mLargeResponseBytes = std::size_t{ 300 } * 1024;
};

/// \brief Faults injected at a target.
struct TargetFaults
{
  /// Probability that a request is executed and its response lost.
  double mLostResponseProbability = 0;
  /// Probability that a response body is truncated in the middle.
  double mTruncationProbability = 0;
  /// Probability that a request is executed and fails.
  double mFailureProbability = 0;
  /// Probability that a request is declined although the queue has room.
  double mShedProbability = 0;
  /// Time for which declined requests ask for rest; they do not when it is zero.
  Duration mRestTime{ 0 };
  /// Additional execution time of every request.
  Duration mDelay{ 0 };
};

/// \brief Stand-in for a target that speaks the platform's protocol. It has slots and a short
/// queue, reports its load and a signature with each response, and declines requests meant for
/// another target. It stops work at the time limit that it receives.
class RegisteredTarget
{
public:
  /// Called when a request begins to execute, with the request's id and this target.
  using ExecutionListener = std::function<void(const std::string&, const RegisteredTarget&)>;
  /// Called when a request arrives, with the request as it arrived.
  using HeaderListener = std::function<void(const HttpRequest&, const RegisteredTarget&)>;
  /// Called when a request has been turned away, with its id and the time of rest asked for.
  using RestListener = std::function<void(const std::string&, const RegisteredTarget&, Duration)>;

  RegisteredTarget(EventLoop& aLoop,
                   const Endpoint& aListen,
                   RegisteredTargetOptions aOptions,
                   std::uint64_t aSeed,
                   ExecutionListener aOnExecution);

  const RegisteredTargetOptions& setup() const { return mOptions; }
  TargetFaults& faults() { return mFaults; }
  /// \brief Sets the callback for each request that arrives, executed or not.
  void setOnArrival(ExecutionListener aOnArrival) { mOnArrival = std::move(aOnArrival); }
  /// \brief Sets the callback for the headers of each request that arrives.
  void setOnHeaders(HeaderListener aOnHeaders) { mOnHeaders = std::move(aOnHeaders); }
  /// \brief Sets the callback for requests that were turned away with a time of rest.
  void setOnRest(RestListener aOnRest) { mOnRest = std::move(aOnRest); }
  /// \brief Sets whether its responses and its registration announce that it is leaving.
  void setLeaving(bool aLeaving) { mLeaving = aLeaving; }
  bool isLeaving() const { return mLeaving; }
  /// \brief Starts a new incarnation under the same id.
  void restart()
  {
    ++mIncarnation;
    mLeaving = false;
  }
  /// \brief \returns the entry that it registers in the store.
  /// \param aAddress  address at which it can be reached
  std::string registration(const Endpoint& aAddress) const;

  /// \brief \returns the complete response body to a request.
  static std::string responseBody(const std::string& aRequestId, std::size_t aBytes);

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  struct QueuedRequest
  {
    HttpRequest mRequest;
    ResponderPtr mResponder;
    /// The end of the time limit that the target received.
    TimePoint mDeadline;
  };

  void handle(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void decline(int aStatus, const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void execute(const QueuedRequest& aQueued);
  void finish(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void executeQueued();
  ResponseHead makeHead(int aStatus, const HttpRequest& aRequest) const;

  EventLoop& mLoop;
  RegisteredTargetOptions mOptions;
  Random mRandom;
  ExecutionListener mOnExecution;
  ExecutionListener mOnArrival;
  HeaderListener mOnHeaders;
  RestListener mOnRest;
  TargetFaults mFaults;
  bool mLeaving = false;
  int mIncarnation = 1;
  int mExecuting = 0;
  std::vector<QueuedRequest> mQueue;
  std::vector<ResponderPtr> mUnanswered;
  HttpServer mServer;
};

} // namespace bulrushrun::standins
