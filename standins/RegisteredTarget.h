#pragma once

#include "bulrushrun/net.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bulrushrun::standins {

/// \brief How a registered target is set up.
struct RegisteredTargetOptions
{
  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots = 4;
  /// Mean time of a run; single times are exponentially distributed.
  Duration mExecutionTime = std::chrono::milliseconds(10);
  /// Body of the answer to a large request, in bytes; other answers are short.
  std::size_t mLargeBytes = std::size_t{ 300 } * 1024;
};

/// \brief What is wrong with a target.
struct TargetFaults
{
  /// Probability that a request runs and its answer is lost.
  double mLostResponseProbability = 0;
  /// Probability that an answer is cut in the middle.
  double mTruncationProbability = 0;
  /// Probability that a request runs and fails.
  double mFailureProbability = 0;
  /// Probability that a request is declined though there is room.
  double mShedProbability = 0;
  /// Every run takes this much longer.
  Duration mDelay{ 0 };
};

/// \brief Stand-in for a target that speaks the platform's protocol: slots and a short queue, load
/// and signature with its answers, requests meant for another target declined.
class RegisteredTarget
{
public:
  /// Tells of each request that begins to run: its id and this target.
  using ExecutionListener = std::function<void(const std::string&, const RegisteredTarget&)>;

  RegisteredTarget(EventLoop& aLoop,
                   const Endpoint& aListen,
                   RegisteredTargetOptions aSetup,
                   std::uint64_t aSeed,
                   ExecutionListener aOnRun);

  const RegisteredTargetOptions& setup() const { return mSetup; }
  TargetFaults& faults() { return mFaults; }
  /// \brief Marks its answers as those of a target that leaves.
  void setLeaving(bool aLeaving) { mLeaving = aLeaving; }
  bool isLeaving() const { return mLeaving; }
  /// \brief Begins another life under the same id.
  void restart()
  {
    ++mLife;
    mLeaving = false;
  }
  /// \brief \returns what it registers in the store.
  /// \param aAddress  address under which it is reached
  std::string registration(const Endpoint& aAddress) const;

  /// \brief \returns the body of the whole answer to a request.
  static std::string bodyFor(const std::string& aRequestId, std::size_t aBytes);

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void handle(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void decline(int aStatus, const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void run(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void finish(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void runNext();
  ResponseHead headFor(int aStatus, const HttpRequest& aRequest) const;

  EventLoop& mLoop;
  RegisteredTargetOptions mSetup;
  Random mRandom;
  ExecutionListener mOnRun;
  TargetFaults mFaults;
  bool mLeaving = false;
  int mLife = 1;
  int mRunning = 0;
  std::vector<std::pair<HttpRequest, ResponderPtr>> mQueue;
  std::vector<ResponderPtr> mHeld;
  HttpServer mServer;
};

} // namespace bulrushrun::standins
