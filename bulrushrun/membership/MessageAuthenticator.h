#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Signs and verifies control messages between instances, with protection against replay.
///
/// Each message carries its sender, the sender's session and a counter, authenticated by a
/// truncated HMAC with a shared key. The first key signs and all keys verify, so that keys can be
/// rotated.
class MessageAuthenticator
{
public:
  MessageAuthenticator(std::vector<std::string> aKeys, InstanceId aSelf, std::uint64_t aSession);

  /// \brief \returns the payload in a signed envelope.
  std::string sign(const std::string& aPayload);

  /// \brief \returns the payload, or nothing when the message has a wrong size, is not authentic,
  /// is malformed, was sent by this instance or is replayed; rejectionReason() then returns which.
  std::optional<std::string> verify(const std::string& aBytes);

  /// \brief \returns why verify() last rejected a message.
  const char* rejectionReason() const { return mRejectionReason; }

private:
  /// Replay window: the counters received in a sender's latest session.
  struct ReplayWindow
  {
    std::uint64_t mSession = 0;
    std::uint64_t mHighest = 0;
    /// Bit i is set when the counter mHighest - i was received.
    std::uint64_t mReceivedBits = 0;
  };

  bool isFresh(const std::string& aSender, std::uint64_t aSession, std::uint64_t aCounter);
  std::nullopt_t reject(const char* aRejectionReason);

  std::vector<std::string> mKeys;
  InstanceId mSelf;
  std::uint64_t mSession;
  std::uint64_t mCounter = 0;
  std::unordered_map<std::string, ReplayWindow> mWindows;
  const char* mRejectionReason = "";
};

} // namespace bulrushrun
