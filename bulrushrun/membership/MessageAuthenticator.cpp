#include "bulrushrun/membership/MessageAuthenticator.h"

#include "bulrushrun/core/MessagePack.h"

#include <algorithm>
#include <tuple>

namespace bulrushrun {

namespace {

constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxMessageBytes = std::size_t{ 64 } * 1024;
constexpr std::uint64_t kReplayWindowBits = 64;

/// Sender, session, counter, payload.
using WireEnvelope = std::tuple<std::string, std::uint64_t, std::uint64_t, std::string>;

std::string truncatedMac(const std::string& aKey, std::string_view aBytes)
{
  return hmacSha256(aKey, aBytes).substr(0, kMacBytes);
}

} // namespace

MessageAuthenticator::MessageAuthenticator(std::vector<std::string> aKeys,
                                           InstanceId aSelf,
                                           std::uint64_t aSession)
  : mKeys(std::move(aKeys))
  , mSelf(std::move(aSelf))
  , mSession(aSession)
{
  assert(!mKeys.empty() && "at least one key is required");
}

std::string MessageAuthenticator::sign(const std::string& aPayload)
{
  const std::string envelope =
    packMessage(WireEnvelope{ mSelf.text(), mSession, ++mCounter, aPayload });
  return truncatedMac(mKeys.front(), envelope) + envelope;
}

std::nullopt_t MessageAuthenticator::reject(const char* aRejectionReason)
{
  mRejectionReason = aRejectionReason;
  return std::nullopt;
}

std::optional<std::string> MessageAuthenticator::verify(const std::string& aBytes)
{
  if (aBytes.size() <= kMacBytes || aBytes.size() > kMaxMessageBytes) {
    return reject("size");
  }
  const std::string_view mac = std::string_view{ aBytes }.substr(0, kMacBytes);
  const std::string_view envelope = std::string_view{ aBytes }.substr(kMacBytes);
  const bool isAuthentic = std::any_of(mKeys.begin(), mKeys.end(), [&](const std::string& aKey) {
    return constantTimeEquals(truncatedMac(aKey, envelope), mac);
  });
  if (!isAuthentic) {
    return reject("foreign");
  }
  const std::optional<WireEnvelope> wire = unpackMessage<WireEnvelope>(envelope);
  if (!wire) {
    return reject("malformed");
  }
  const auto& [sender, session, counter, payload] = *wire;
  if (sender == mSelf.text()) {
    return reject("own");
  }
  if (!isFresh(sender, session, counter)) {
    return reject("replayed");
  }
  return payload;
}

/// Session numbers are derived from the sender's start time, so that a lower number belongs to an
/// earlier incarnation of the sender.
bool MessageAuthenticator::isFresh(const std::string& aSender,
                                   std::uint64_t aSession,
                                   std::uint64_t aCounter)
{
  ReplayWindow& window = mWindows[aSender];
  if (aSession < window.mSession) {
    return false;
  }
  if (aSession > window.mSession) {
    window = { aSession, aCounter, 1 };
    return true;
  }
  if (aCounter > window.mHighest) {
    const std::uint64_t ahead = aCounter - window.mHighest;
    window.mReceivedBits = ahead >= kReplayWindowBits ? 0 : window.mReceivedBits << ahead;
    window.mReceivedBits |= 1U;
    window.mHighest = aCounter;
    return true;
  }
  const std::uint64_t behind = window.mHighest - aCounter;
  const std::uint64_t bit = behind >= kReplayWindowBits ? 0 : std::uint64_t{ 1 } << behind;
  if (bit == 0 || (window.mReceivedBits & bit) != 0) {
    return false;
  }
  window.mReceivedBits |= bit;
  return true;
}

} // namespace bulrushrun
