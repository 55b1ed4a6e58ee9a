#pragma once

#include "bulrushrun/core.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Signs messages between instances and checks them: origin, and that none comes twice.
///
/// Each message carries its sender, the sender's session and a counter, under an HMAC of a shared
/// key. The first key signs; all verify, so that keys can be rotated.
class MessageAuthenticator
{
public:
  MessageAuthenticator(std::vector<std::string> aKeys, InstanceId aSelf, std::uint64_t aSession);

  /// \brief \returns the message with its envelope.
  std::string sign(const std::string& aPayload);

  /// \brief \returns the payload, or nothing when the envelope is malformed, foreign, our own or
  /// replayed; rejectionReason() then says which.
  std::optional<std::string> verify(const std::string& aBytes);

  /// \brief \returns why the last open() gave nothing.
  const char* rejectionReason() const { return mReason; }

private:
  /// Counters seen of one sender's session.
  struct Window
  {
    std::uint64_t mSession = 0;
    std::uint64_t mHighest = 0;
    /// Bit i: counter mHighest - i was seen.
    std::uint64_t mSeen = 0;
  };

  bool isFresh(const std::string& aSender, std::uint64_t aSession, std::uint64_t aCounter);
  std::nullopt_t refuse(const char* aReason);

  std::vector<std::string> mKeys;
  InstanceId mSelf;
  std::uint64_t mSession;
  std::uint64_t mCounter = 0;
  std::unordered_map<std::string, Window> mWindows;
  const char* mReason = "";
};

} // namespace bulrushrun
