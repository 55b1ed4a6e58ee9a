#include "bulrushrun/claims/ClaimRecord.h"

#include "bulrushrun/core/MessagePack.h"

#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

namespace bulrushrun {

namespace {

using WireHeader = std::pair<std::string, std::string>;
using WireOutcome = std::tuple<int, std::vector<WireHeader>, std::string, std::string, bool>;
/// The list holds the outcome, or is empty when there is none.
using WireRecord = std::tuple<int, std::string, std::string, std::string, std::vector<WireOutcome>>;

WireOutcome toWire(const StoredOutcome& aOutcome)
{
  std::vector<WireHeader> headers;
  for (const Header& header : aOutcome.mHeaders) {
    headers.emplace_back(header.mName, header.mValue);
  }
  return { aOutcome.mStatus, headers, aOutcome.mBody, aOutcome.mObject, aOutcome.mIsStored };
}

StoredOutcome fromWire(const WireOutcome& aWire)
{
  StoredOutcome outcome;
  std::vector<WireHeader> headers;
  std::tie(outcome.mStatus, headers, outcome.mBody, outcome.mObject, outcome.mIsStored) = aWire;
  for (const WireHeader& header : headers) {
    outcome.mHeaders.push_back({ header.first, header.second });
  }
  return outcome;
}

bool isClaimState(int aState)
{
  return aState >= static_cast<int>(ClaimState::Claimed) &&
         aState <= static_cast<int>(ClaimState::Completed);
}

} // namespace

std::string encodeClaimRecord(const ClaimRecord& aRecord)
{
  WireRecord wire{ static_cast<int>(aRecord.mState),
                   aRecord.mToken.text(),
                   aRecord.mFingerprint,
                   aRecord.mHolder.text(),
                   {} };
  if (aRecord.mOutcome) {
    std::get<4>(wire).push_back(toWire(*aRecord.mOutcome));
  }
  return packMessage(wire);
}

std::optional<ClaimRecord> decodeClaimRecord(const std::string& aBytes)
{
  const std::optional<WireRecord> wire = unpackMessage<WireRecord>(aBytes);
  if (!wire) {
    return std::nullopt;
  }
  const auto& [state, token, fingerprint, holder, outcomes] = *wire;
  const bool needsOutcome = state == static_cast<int>(ClaimState::Completed);
  if (!isClaimState(state) || needsOutcome != (outcomes.size() == 1)) {
    return std::nullopt;
  }
  ClaimRecord record{ static_cast<ClaimState>(state),
                      ClaimToken{ token },
                      fingerprint,
                      InstanceId{ holder },
                      std::nullopt };
  if (needsOutcome) {
    record.mOutcome = fromWire(outcomes.front());
  }
  return record;
}

} // namespace bulrushrun
