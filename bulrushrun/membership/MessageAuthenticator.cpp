#include "bulrushrun/membership/MessageAuthenticator.h"

#include "bulrushrun/core/MessagePack.h"

#include <algorithm>
#include <tuple>

namespace bulrushrun {

namespace {

constexpr std::size_t kCodeBytes = 16;
constexpr std::size_t kMaxMessageBytes = std::size_t{ 64 } * 1024;
constexpr std::uint64_t kWindowBits = 64;

/// Sender, session, counter, payload.
using WireEnvelope = std::tuple<std::string, std::uint64_t, std::uint64_t, std::string>;

std::string codeOf(const std::string& aKey, std::string_view aBytes)
{
  return hmacSha256(aKey, aBytes).substr(0, kCodeBytes);
}

} // namespace

MessageAuthenticator::MessageAuthenticator(std::vector<std::string> aKeys,
                                           InstanceId aSelf,
                                           std::uint64_t aSession)
  : mKeys(std::move(aKeys))
  , mSelf(std::move(aSelf))
  , mSession(aSession)
{
  assert(!mKeys.empty() && "a seal needs at least one key");
}

std::string MessageAuthenticator::sign(const std::string& aPayload)
{
  const std::string envelope =
    packMessage(WireEnvelope{ mSelf.text(), mSession, ++mCounter, aPayload });
  return codeOf(mKeys.front(), envelope) + envelope;
}

std::nullopt_t MessageAuthenticator::refuse(const char* aReason)
{
  mReason = aReason;
  return std::nullopt;
}

std::optional<std::string> MessageAuthenticator::verify(const std::string& aBytes)
{
  if (aBytes.size() <= kCodeBytes || aBytes.size() > kMaxMessageBytes) {
    return refuse("size");
  }
  const std::string_view code = std::string_view{ aBytes }.substr(0, kCodeBytes);
  const std::string_view envelope = std::string_view{ aBytes }.substr(kCodeBytes);
  const bool authentic = std::any_of(mKeys.begin(), mKeys.end(), [&](const std::string& aKey) {
    return constantTimeEquals(codeOf(aKey, envelope), code);
  });
  if (!authentic) {
    return refuse("foreign");
  }
  const std::optional<WireEnvelope> wire = unpackMessage<WireEnvelope>(envelope);
  if (!wire) {
    return refuse("malformed");
  }
  const auto& [sender, session, counter, payload] = *wire;
  if (sender == mSelf.text()) {
    return refuse("own");
  }
  if (!isFresh(sender, session, counter)) {
    return refuse("replayed");
  }
  return payload;
}

/// A session begins at the sender's start time, so that an older one is told by its number.
bool MessageAuthenticator::isFresh(const std::string& aSender,
                                   std::uint64_t aSession,
                                   std::uint64_t aCounter)
{
  Window& window = mWindows[aSender];
  if (aSession < window.mSession) {
    return false;
  }
  if (aSession > window.mSession) {
    window = { aSession, aCounter, 1 };
    return true;
  }
  if (aCounter > window.mHighest) {
    const std::uint64_t ahead = aCounter - window.mHighest;
    window.mSeen = ahead >= kWindowBits ? 0 : window.mSeen << ahead;
    window.mSeen |= 1U;
    window.mHighest = aCounter;
    return true;
  }
  const std::uint64_t behind = window.mHighest - aCounter;
  const std::uint64_t bit = behind >= kWindowBits ? 0 : std::uint64_t{ 1 } << behind;
  if (bit == 0 || (window.mSeen & bit) != 0) {
    return false;
  }
  window.mSeen |= bit;
  return true;
}

} // namespace bulrushrun
