#pragma once

#include "bulrushrun/net.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::standins {

/// \brief Options of a stand-in target.
struct TargetStandInOptions
{
  int mSlots = 3;
  /// Mean response time; the times are exponentially distributed.
  Duration mResponseTime{ 10000 };
  std::size_t mResponseBytes = 1024;
};

/// \brief Number of executions by idempotency key; shared by all targets of the process.
using ExecutionCounts = std::map<std::string, int>;

/// \brief Stand-in for a target: slots, load shedding, a health check, and a count of executions.
///
/// PUT /control sets `leaving=1` (report leaving in the health check), `silent=1` (accept requests
/// and never respond), `crossed=1` (respond with the name of another exchange) and `cut=1` (abort
/// responses in the middle).
class TargetStandIn
{
public:
  TargetStandIn(EventLoop& aLoop,
                const Endpoint& aEndpoint,
                const TargetStandInOptions& aOptions,
                ExecutionCounts& aExecutionCounts);

private:
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void handle(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void execute(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void finish(const HttpRequest& aRequest, const ResponderPtr& aResponder);
  void streamBody(const ResponderPtr& aResponder, std::size_t aLeft);
  HttpResponse control(const std::string& aBody);

  EventLoop& mLoop;
  TargetStandInOptions mOptions;
  ExecutionCounts& mExecutionCounts;
  Random mRandom;
  int mBusySlots = 0;
  bool mLeaving = false;
  bool mSilent = false;
  bool mMismatchResponses = false;
  bool mTruncateResponses = false;
  std::uint64_t mExecutions = 0;
  std::vector<ResponderPtr> mUnanswered;
  HttpServer mServer;
};

} // namespace bulrushrun::standins
