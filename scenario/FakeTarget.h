#pragma once

#include "bulrushrun/configuration.h"
#include "scenario/InvariantChecker.h"
#include "scenario/ResponseEvent.h"
#include "scenario/VirtualNetwork.h"

#include <memory>
#include <string>

namespace bulrushrun::scenario {

/// \brief Fault mode of a simulated target.
enum class TargetMode
{
  Normal,
  /// Refuses connections.
  Down,
  /// Accepts and executes requests, but never responds.
  Unresponsive,
  /// Responds with the name and body of another exchange.
  MismatchedExchange,
  /// Interrupts the exchange in the middle of the response body.
  Truncated,
  /// Takes ten times as long to execute a request.
  Slow,
};

/// \brief Simulated target with a limited number of slots: sheds requests beyond them, and reports
/// every execution to the invariant checker.
class FakeTarget
{
public:
  /// \brief Limit on requests that the target's zone executes for callers of other regions.
  struct ShiftCap
  {
    /// Zone and service that the limit applies to.
    std::string mName;
    double mCap = 0;
  };

  FakeTarget(VirtualNetwork& aNetwork,
             InvariantChecker& aChecker,
             TargetSpec aSpec,
             Duration aResponseTime,
             ShiftCap aShiftCap)
    : mNetwork(aNetwork)
    , mChecker(aChecker)
    , mSpec(std::move(aSpec))
    , mResponseTime(aResponseTime)
    , mShiftCap(std::move(aShiftCap))
  {
  }

  const TargetSpec& spec() const { return mSpec; }
  void setMode(TargetMode aMode)
  {
    mUnresponsiveUntil = mMode == TargetMode::Unresponsive ? mNetwork.now() : mUnresponsiveUntil;
    mMode = aMode;
  }
  TargetMode mode() const { return mMode; }
  /// \brief Marks the target as leaving; requests that arrive more than 2 s later count as a
  /// violation.
  void leave()
  {
    mLeaving = true;
    mLeavingSince = mNetwork.now();
  }
  /// \brief Marks the target as leaving in the platform's instance list only, not in its health
  /// check. The 2 s start when an instance first reads that list, as no instance can know earlier.
  void leaveByInstanceList()
  {
    mLeaving = true;
    mLeavesByListOnly = true;
    mLeavingSince = TimePoint::max() - kLeavingGrace;
  }
  /// \brief An instance read the list that marks this target as leaving.
  void onListRead() { mLeavingSince = std::min(mLeavingSince, mNetwork.now()); }

  /// \brief Handles a request from an instance in zone \a aFrom.
  void receive(const ZoneName& aFrom,
               const HttpRequest& aRequest,
               const ResponseSink& aResponseSink);

  /// \brief Called for each request that arrives too late after the target began to leave.
  std::function<void()> mOnLateRequest;

private:
  static constexpr Duration kLeavingGrace = std::chrono::seconds(2);

  void respondToHealthCheck(const ResponseSink& aResponseSink) const;
  void respondNotRun(const HttpRequest& aRequest, const ResponseSink& aResponseSink) const;
  void respond(const HttpRequest& aRequest, const ResponseSink& aResponseSink) const;

  VirtualNetwork& mNetwork;
  InvariantChecker& mChecker;
  TargetSpec mSpec;
  Duration mResponseTime;
  ShiftCap mShiftCap;
  TargetMode mMode = TargetMode::Normal;
  bool mLeaving = false;
  bool mLeavesByListOnly = false;
  TimePoint mLeavingSince;
  /// When the target was last unresponsive: until then, no health check reported that it is
  /// leaving.
  TimePoint mUnresponsiveUntil;
  int mInProgress = 0;
};

} // namespace bulrushrun::scenario
