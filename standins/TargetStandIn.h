#pragma once

#include "bulrushrun/net.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::standins {

/// \brief How a stand-in target answers.
struct TargetStandInOptions
{
  int mSlots = 3;
  /// Mean answer time; single times are exponentially distributed.
  Duration mResponseTime{ 10000 };
  std::size_t mResponseBytes = 1024;
};

/// \brief What ran, by idempotency key; shared by all targets of the process.
using ExecutionCounts = std::map<std::string, int>;

/// \brief Stand-in for a target: slots, shedding, health page, its own record of what ran.
///
/// PUT /control sets `leaving=1`, `silent=1` (take requests, never answer), `crossed=1` (answer
/// with another exchange's name), `cut=1` (break answers off in the middle).
class TargetStandIn
{
public:
  TargetStandIn(EventLoop& aLoop,
                const Endpoint& aEndpoint,
                const TargetStandInOptions& aBehaviour,
                ExecutionCounts& aRecord);

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void handle(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void run(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void finish(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void stream(const ResponderPtr& aResponder, std::size_t aLeft);
  HttpResponse control(const std::string& aBody);

  EventLoop& mLoop;
  TargetStandInOptions mBehaviour;
  ExecutionCounts& mRecord;
  Random mRandom;
  int mBusy = 0;
  bool mLeaving = false;
  bool mSilent = false;
  bool mCrossed = false;
  bool mCut = false;
  std::uint64_t mRuns = 0;
  std::vector<ResponderPtr> mHeld;
  HttpServer mServer;
};

} // namespace bulrushrun::standins
