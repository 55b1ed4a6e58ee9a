#pragma once

#include "bulrushrun/net.h"
#include "soak/InvariantChecker.h"
#include "soak/PipelinedBurst.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief Addresses of one instance for callers.
struct CallerAddress
{
  /// Address in lookup responses.
  Endpoint mListen;
  Endpoint mLookup;
  /// Address of the fault proxy in front of mListen.
  Endpoint mProxy;
};

/// \brief Simulated callers. They look up an instance, reuse its connections and send requests of
/// all kinds; some disconnect before the response.
class Callers
{
public:
  /// Time limits of the routes; that of the slow one exceeds the grace of a planned stop.
  static constexpr Duration kRouteTimeout = std::chrono::seconds(2);
  static constexpr Duration kSlowTimeout = std::chrono::seconds(9);

  Callers(EventLoop& aLoop,
          InvariantChecker& aChecker,
          std::vector<CallerAddress> aInstances,
          Random aRandom);

  /// \brief Sends requests at a rate until stop().
  void run(double aRequestRate);
  void stop() { mStopped = true; }
  /// \brief Sends a request that shows which configuration is in force at an instance.
  void probe(std::size_t aInstance);

private:
  static constexpr Duration kCallerTimeout = std::chrono::milliseconds(2500);

  void lookUp();
  void scheduleNext();
  void send(std::size_t aInstance, Attempt aAttempt, HttpRequest aRequest);
  void sendSlow(std::size_t aInstance);
  void sendPipelined(std::size_t aInstance);
  void endBurst(const std::vector<std::string>& aIds, std::size_t aResponses, bool aAbandoned);
  void abandon(const std::string& aId);

  EventLoop& mLoop;
  InvariantChecker& mChecker;
  std::vector<CallerAddress> mInstances;
  Random mRandom;
  /// Of its own, so that the other callers of a seed stay the same.
  Random mBurstRandom;
  HttpClient mClient;
  /// Indices of the instances in the last lookup response.
  std::vector<std::size_t> mUsableInstances;
  std::map<std::string, ExchangeId> mExchanges;
  /// Bursts of pipelined requests, by the id of the first one.
  std::map<std::string, std::unique_ptr<PipelinedBurst>> mBursts;
  double mRequestRate = 0;
  bool mStopped = false;
};

} // namespace bulrushrun::soak
