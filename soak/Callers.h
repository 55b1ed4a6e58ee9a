#pragma once

#include "bulrushrun/net.h"
#include "soak/InvariantChecker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief Where one instance is reached by callers.
struct CallerAddress
{
  /// Named in look-up answers.
  Endpoint mListen;
  Endpoint mLookup;
  /// Proxy before the first.
  Endpoint mProxy;
};

/// \brief Callers: they look up an instance, keep its connections until those are gone, and send
/// requests of all kinds; some leave early.
class Callers
{
public:
  Callers(EventLoop& aLoop,
          InvariantChecker& aChecker,
          std::vector<CallerAddress> aInstances,
          Random aRandom);

  /// \brief Sends requests at a rate until stop().
  void run(double aPerSecond);
  void stop() { mStopped = true; }
  /// \brief Asks an instance which configuration is in force.
  void probe(std::size_t aInstance);

private:
  static constexpr Duration kCallerTimeout = std::chrono::milliseconds(2500);

  void lookUp();
  void next();
  void send(std::size_t aInstance, Attempt aAttempt, HttpRequest aRequest);
  void abandon(const std::string& aId);

  EventLoop& mLoop;
  InvariantChecker& mChecker;
  std::vector<CallerAddress> mInstances;
  Random mRandom;
  HttpClient mClient;
  /// Instances that the last look-up named.
  std::vector<std::size_t> mUsable;
  std::map<std::string, ExchangeId> mExchanges;
  double mPerSecond = 0;
  bool mStopped = false;
};

} // namespace bulrushrun::soak
