#pragma once

#include "bulrushrun/core.h"

#include <cstdint>

namespace bulrushrun {

/// \brief State of an instance as another one knows it. Within one incarnation, a later state in
/// this list overrides an earlier one.
enum class MemberState
{
  Alive = 0,
  /// It did not respond to a probe; it is declared dead unless it refutes this before the timeout.
  Suspect = 1,
  /// It is shutting down gracefully: it accepts no new work but still responds.
  Leaving = 2,
  Dead = 3,
};

/// \brief One instance of the fleet, as another instance knows it.
struct Member
{
  InstanceId mId;
  ZoneName mZone;
  /// Address for callers and relayed requests.
  Endpoint mListen;
  /// Address for control messages.
  Endpoint mPeer;
  /// Raised by the instance itself to refute a wrong report about it.
  Incarnation mIncarnation;
  MemberState mState = MemberState::Alive;
  /// Configuration version that the instance last reported.
  ConfigurationVersion mVersion;
  /// Processor time of the instance, in thousandths of a core; 0 when it does not report it.
  std::uint32_t mProcessorShare = 0;
};

inline const char* stateText(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Dead:
      break;
  }
  return "dead";
}

} // namespace bulrushrun
