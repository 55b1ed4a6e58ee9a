#pragma once

#include "bulrushrun/host/Event.h"

#include <array>

/// \file
/// \brief All numbered log events. docs/EVENTS.md documents each; a test compares the two.

namespace bulrushrun::events {

inline constexpr Event kInstanceStarted{ 1001, Severity::Info, "instance-started" };
inline constexpr Event kInstanceReady{ 1002, Severity::Info, "instance-ready" };
inline constexpr Event kDrainStarted{ 1003, Severity::Info, "drain-started" };
inline constexpr Event kDrainEnded{ 1004, Severity::Info, "drain-ended" };
inline constexpr Event kDrainLimitReached{ 1005, Severity::Warn, "drain-limit-reached" };
inline constexpr Event kSettingsAdopted{ 1006, Severity::Info, "settings-adopted" };
inline constexpr Event kSettingsRefused{ 1007, Severity::Error, "settings-refused" };
inline constexpr Event kConfigurationAdopted{ 2001, Severity::Info, "configuration-adopted" };
inline constexpr Event kConfigurationRefused{ 2002, Severity::Error, "configuration-refused" };
inline constexpr Event kConfigurationFetchFailed{ 2003,
                                                  Severity::Debug,
                                                  "configuration-fetch-failed" };
inline constexpr Event kPlanAdopted{ 2004, Severity::Info, "plan-adopted" };
inline constexpr Event kPlanRefused{ 2005, Severity::Error, "plan-refused" };
inline constexpr Event kZoneEvacuated{ 2006, Severity::Info, "zone-evacuated" };
inline constexpr Event kZoneRestored{ 2007, Severity::Info, "zone-restored" };
inline constexpr Event kPlatformUnavailable{ 3001, Severity::Warn, "platform-unavailable" };
inline constexpr Event kPlatformBack{ 3002, Severity::Info, "platform-back" };
inline constexpr Event kFeedLost{ 3003, Severity::Warn, "feed-lost" };
inline constexpr Event kFeedRegained{ 3004, Severity::Info, "feed-regained" };
inline constexpr Event kRowsAdopted{ 3005, Severity::Info, "rows-adopted" };
inline constexpr Event kRowsUnreadable{ 3006, Severity::Warn, "rows-unreadable" };
inline constexpr Event kReplicaDiverged{ 3007, Severity::Warn, "replica-diverged" };
inline constexpr Event kTransferInterrupted{ 3008, Severity::Info, "transfer-interrupted" };
inline constexpr Event kTableRejected{ 3009, Severity::Error, "table-rejected" };
inline constexpr Event kEpochRaised{ 3010, Severity::Warn, "store-epoch-raised" };
inline constexpr Event kTableReplaced{ 3011, Severity::Info, "table-replaced" };
inline constexpr Event kRowNotFollowed{ 3012, Severity::Warn, "row-not-followed" };
inline constexpr Event kStaleResponseDiscarded{ 3013, Severity::Info, "stale-response-discarded" };
inline constexpr Event kClaimUnresolved{ 4001, Severity::Warn, "claim-unresolved" };
inline constexpr Event kOutcomeUnknown{ 4002, Severity::Warn, "outcome-unknown" };
inline constexpr Event kOutcomeNotStored{ 4003, Severity::Warn, "outcome-not-stored" };
inline constexpr Event kAnswerCrossed{ 4004, Severity::Warn, "answer-crossed" };
inline constexpr Event kTargetEjected{ 5001, Severity::Warn, "target-ejected" };
inline constexpr Event kTargetBack{ 5002, Severity::Info, "target-back" };
inline constexpr Event kTargetLeaving{ 5003, Severity::Info, "target-leaving" };
inline constexpr Event kTargetAdded{ 5004, Severity::Info, "target-added" };
inline constexpr Event kTargetVanished{ 5005, Severity::Info, "target-vanished" };
inline constexpr Event kTargetEntryRefused{ 5006, Severity::Warn, "target-entry-refused" };
inline constexpr Event kTargetReplaced{ 5007, Severity::Info, "target-replaced" };
inline constexpr Event kTargetZoneUnknown{ 5008, Severity::Warn, "target-zone-unknown" };
inline constexpr Event kObjectPlaced{ 5009, Severity::Info, "object-placed" };
inline constexpr Event kPlacementsUnreadable{ 5010, Severity::Warn, "placements-unreadable" };
inline constexpr Event kPlacementsLoaded{ 5011, Severity::Info, "placements-loaded" };
inline constexpr Event kPlacementsNotSaved{ 5012, Severity::Warn, "placements-not-saved" };
inline constexpr Event kPlacementsNotLoaded{ 5013, Severity::Info, "placements-not-loaded" };
inline constexpr Event kTargetHeaderIgnored{ 5014, Severity::Warn, "target-header-ignored" };
inline constexpr Event kTargetResting{ 5015, Severity::Info, "target-resting" };
inline constexpr Event kTargetRateLimited{ 5016, Severity::Info, "target-rate-limited" };
inline constexpr Event kMemberJoined{ 6001, Severity::Info, "member-joined" };
inline constexpr Event kMemberSuspected{ 6002, Severity::Debug, "member-suspected" };
inline constexpr Event kMemberDead{ 6003, Severity::Warn, "member-dead" };
inline constexpr Event kMemberLeaving{ 6004, Severity::Info, "member-leaving" };
inline constexpr Event kMessageDropped{ 6005, Severity::Debug, "message-dropped" };
inline constexpr Event kMemberLeft{ 6006, Severity::Info, "member-left" };
inline constexpr Event kAdministrationDenied{ 7001, Severity::Warn, "administration-denied" };
inline constexpr Event kAdministrationChange{ 7002, Severity::Info, "administration-change" };
inline constexpr Event kRequestEnded{ 8001, Severity::Info, "request-ended" };
inline constexpr Event kRequestRefused{ 8002, Severity::Info, "request-refused" };
inline constexpr Event kSendFailed{ 8003, Severity::Info, "send-failed" };
inline constexpr Event kLookupRefused{ 8004, Severity::Info, "lookup-refused" };
inline constexpr Event kRegionShares{ 8005, Severity::Info, "region-shares" };
inline constexpr Event kReadingPaused{ 8006, Severity::Warn, "reading-paused" };
inline constexpr Event kReadingResumed{ 8007, Severity::Info, "reading-resumed" };
inline constexpr Event kTargetSilent{ 8008, Severity::Info, "target-silent" };
inline constexpr Event kPipelineLimitReached{ 8010, Severity::Warn, "pipeline-limit-reached" };
inline constexpr Event kPipelineLimitLeft{ 8011, Severity::Info, "pipeline-limit-left" };
inline constexpr Event kPipelineMismatch{ 8012, Severity::Error, "pipeline-mismatch" };
inline constexpr Event kPipelineAbandoned{ 8013, Severity::Info, "pipeline-abandoned" };
inline constexpr Event kQuotasAdopted{ 9001, Severity::Info, "quotas-adopted" };
inline constexpr Event kQuotaCoordinator{ 9002, Severity::Info, "quota-coordinator" };
inline constexpr Event kQuotaAlone{ 9003, Severity::Warn, "quota-alone" };
inline constexpr Event kQuotaCoordinated{ 9004, Severity::Info, "quota-coordinated" };
inline constexpr Event kQuotaExceeded{ 9005, Severity::Info, "quota-exceeded" };

inline constexpr std::array kAllEvents{ kInstanceStarted,      kInstanceReady,
                                        kDrainStarted,         kDrainEnded,
                                        kDrainLimitReached,    kConfigurationAdopted,
                                        kConfigurationRefused, kConfigurationFetchFailed,
                                        kPlatformUnavailable,  kPlatformBack,
                                        kClaimUnresolved,      kOutcomeUnknown,
                                        kOutcomeNotStored,     kAnswerCrossed,
                                        kTargetEjected,        kTargetBack,
                                        kTargetLeaving,        kMemberJoined,
                                        kMemberSuspected,      kMemberDead,
                                        kMemberLeaving,        kMessageDropped,
                                        kMemberLeft,           kAdministrationDenied,
                                        kAdministrationChange, kSettingsAdopted,
                                        kSettingsRefused,      kPlanAdopted,
                                        kPlanRefused,          kZoneEvacuated,
                                        kZoneRestored,         kFeedLost,
                                        kFeedRegained,         kTargetAdded,
                                        kTargetVanished,       kTargetEntryRefused,
                                        kTargetReplaced,       kRequestEnded,
                                        kRequestRefused,       kSendFailed,
                                        kLookupRefused,        kTargetZoneUnknown,
                                        kObjectPlaced,         kPlacementsUnreadable,
                                        kPlacementsLoaded,     kPlacementsNotSaved,
                                        kPlacementsNotLoaded,  kRowsAdopted,
                                        kRowsUnreadable,       kReplicaDiverged,
                                        kTargetHeaderIgnored,  kTargetResting,
                                        kTransferInterrupted,  kTargetRateLimited,
                                        kRegionShares,         kReadingPaused,
                                        kReadingResumed,       kTableRejected,
                                        kEpochRaised,          kTableReplaced,
                                        kRowNotFollowed,       kStaleResponseDiscarded,
                                        kQuotasAdopted,        kQuotaCoordinator,
                                        kQuotaAlone,           kQuotaCoordinated,
                                        kQuotaExceeded,        kPipelineLimitReached,
                                        kPipelineLimitLeft,    kPipelineMismatch,
                                        kPipelineAbandoned,    kTargetSilent };

} // namespace bulrushrun::events
