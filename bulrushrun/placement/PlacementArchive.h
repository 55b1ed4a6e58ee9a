#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/membership.h"
#include "bulrushrun/placement/PlacementMessage.h"
#include "bulrushrun/placement/PlacementTable.h"
#include "bulrushrun/routing/Rendezvous.h"
#include "bulrushrun/store.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Path under which instances request all placements from each other.
inline constexpr const char* kPeerPlacementsPath = "/peer/placements";

/// \brief Where an instance reads and saves placements.
struct PlacementSource
{
  Endpoint mStore;
  /// Table of the instances, which is read at the start in any case.
  std::string mStoreTable;
  /// Shared keys of the instances; the first one signs.
  std::vector<std::string> mKeys;
  /// \returns an instance to ask while the store does not respond.
  std::function<std::optional<Endpoint>()> mChoosePeer;
};

/// \brief Keeps a copy of all placements in the store, so that objects return to their warm targets
/// after a restart of the whole fleet.
///
/// The table is saved in a fixed number of rows, each by the instance that rendezvous hashing
/// assigns it to; when views of the membership differ, a row is written twice. An instance that
/// starts reads the rows, or asks a peer while the store does not respond, and writes none before.
///
/// \tparam StoreProtocol  encoding of the store's calls
template<class HostType, class StoreProtocol>
class PlacementArchive
{
public:
  PlacementArchive(HostType& aHost, PlacementTable& aPlacements, PlacementSource aSource)
    : mHost(aHost)
    , mPlacements(aPlacements)
    , mSource(std::move(aSource))
  {
  }

  /// \brief Starts to wait for the saved placements.
  void start();
  /// \brief \returns true for the key of a row with saved placements.
  static bool isSavedRow(const std::string& aKey) { return aKey.starts_with(kRowPrefix); }
  /// \brief Takes the placements in a row that was read from the store.
  void onSavedRow(const StoreRow& aRow);
  /// \brief Ends the wait: all saved rows have been read.
  void onSavedRowsRead() { onLoaded("store"); }
  /// \brief Starts to save placements.
  void join(const Gossip<HostType>& aGossip)
  {
    mGossip = &aGossip;
    savePeriodically();
  }
  /// \brief Saves all placements again: the store came back from an older copy.
  void saveAgain();
  /// \brief Handles a peer's request for all placements. \returns false when the request is another
  /// one
  bool handlePeerRequest(const HttpRequest& aRequest, typename HostType::ResponderType& aResponder);
  /// \brief \returns the number of rows written to the store since the start.
  std::uint64_t storeCalls() const { return mStoreCalls; }

private:
  /// Keys of the rows in the instances' table; sorts after the names of instances.
  static constexpr const char* kRowPrefix = "~placements-";
  static constexpr Duration kSaveCheckPeriod = std::chrono::milliseconds(500);
  /// Bounds of the time between two writes of a row; doubles with each write.
  static constexpr Duration kMinSaveInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxSaveInterval = std::chrono::seconds(8);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
  /// Time for the store to respond before peers are asked: two round trips between regions.
  static constexpr Duration kPeerLoadDelay = std::chrono::milliseconds(300);
  /// Time after which objects are placed although no placements could be read.
  static constexpr Duration kLoadTimeout = std::chrono::seconds(2);
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 1024 } * 1024;

  /// Progress of saving one part of the table.
  struct SavedPart
  {
    std::uint64_t mChanges = 0;
    Duration mInterval = kMinSaveInterval;
    TimePoint mNextAt;
  };

  void loadFromPeer();
  bool merge(std::string_view aMessage);
  void onLoaded(const char* aSource);
  void savePeriodically();
  bool isWriter(std::size_t aPart) const;
  void save(std::size_t aPart);

  HostType& mHost;
  PlacementTable& mPlacements;
  PlacementSource mSource;
  bool mLoaded = false;
  const Gossip<HostType>* mGossip = nullptr;
  std::array<SavedPart, PlacementTable::kParts> mSaved;
  std::uint64_t mStoreCalls = 0;
  /// Number of calls of saveAgain(). A write that began before the last one may be lost.
  std::uint64_t mRound = 0;
};

template<class HostType, class StoreProtocol>
bool PlacementArchive<HostType, StoreProtocol>::merge(std::string_view aMessage)
{
  const std::optional<PlacementMessage> message = decodePlacements(aMessage);
  if (message) {
    mPlacements.merge(message->mPlacements, mHost.now());
  }
  return message.has_value();
}

template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::start()
{
  mHost.after(kPeerLoadDelay, [this] { loadFromPeer(); });
  mHost.after(kLoadTimeout, [this] { mPlacements.setComplete(); });
}

template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::onSavedRow(const StoreRow& aRow)
{
  if (!merge(aRow.mValue)) {
    mHost.log(events::kPlacementsUnreadable, "key=" + aRow.mKey);
  }
}

/// Asks another instance while the store does not respond.
template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::loadFromPeer()
{
  const std::optional<Endpoint> peer = mLoaded ? std::nullopt : mSource.mChoosePeer();
  if (!peer) {
    return;
  }
  HttpRequest request;
  request.mMethod = "GET";
  request.mPath = kPeerPlacementsPath;
  startBufferedExchange(mHost,
                        *peer,
                        std::move(request),
                        kCallTimeout,
                        kMaxResponseBytes,
                        [this](ExchangeResult aResult, const HttpResponse& aResponse) {
                          const std::optional<std::string_view> payload =
                            aResult == ExchangeResult::Complete && aResponse.mHead.mStatus == 200
                              ? verifyPayload(aResponse.mBody, mSource.mKeys)
                              : std::nullopt;
                          if (payload && merge(*payload)) {
                            onLoaded("peer");
                          } else {
                            mHost.log(events::kPlacementsNotLoaded,
                                      "reason=\"the peer sent no valid placements\" status=" +
                                        std::to_string(aResponse.mHead.mStatus));
                            mHost.after(kRetryDelay, [this] { loadFromPeer(); });
                          }
                        });
}

template<class HostType, class StoreProtocol>
bool PlacementArchive<HostType, StoreProtocol>::handlePeerRequest(
  const HttpRequest& aRequest,
  typename HostType::ResponderType& aResponder)
{
  if (aRequest.mPath != kPeerPlacementsPath) {
    return false;
  }
  constexpr int kUnavailable = 503;
  HttpResponse response;
  response.mHead.mHeaders = { { "Content-Type", "application/octet-stream" } };
  if (mLoaded) {
    response.mBody = signPayload(encodeAllPlacements(mPlacements.all()), mSource.mKeys.front());
  } else {
    response.mHead.mStatus = kUnavailable;
  }
  respond(aResponder, response);
  return true;
}

template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::onLoaded(const char* aSource)
{
  if (std::exchange(mLoaded, true)) {
    return;
  }
  mHost.log(events::kPlacementsLoaded,
            std::string("source=") + aSource + " objects=" + std::to_string(mPlacements.size()));
  mPlacements.setComplete();
  for (std::size_t part = 0; part < mSaved.size(); ++part) {
    // After saveAgain(), a part may have been read before the store lost it.
    mSaved[part].mChanges = mRound == 0 ? mPlacements.changes(part) : 0;
  }
}

template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::saveAgain()
{
  ++mRound;
  for (std::size_t part = 0; part < mSaved.size(); ++part) {
    // A part that never had placements stays unsaved.
    mSaved[part].mChanges = 0;
    mSaved[part].mInterval = kMinSaveInterval;
    mSaved[part].mNextAt = std::min(mSaved[part].mNextAt, mHost.now() + kMinSaveInterval);
  }
}

template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::savePeriodically()
{
  mPlacements.sweep(mHost.now());
  for (std::size_t part = 0; part < mSaved.size(); ++part) {
    const SavedPart& saved = mSaved[part];
    if (mLoaded && saved.mChanges != mPlacements.changes(part) && mHost.now() >= saved.mNextAt &&
        isWriter(part)) {
      save(part);
    }
  }
  mHost.after(kSaveCheckPeriod, [this] { savePeriodically(); });
}

template<class HostType, class StoreProtocol>
bool PlacementArchive<HostType, StoreProtocol>::isWriter(std::size_t aPart) const
{
  std::vector<Member> members = mGossip->table().all();
  std::erase_if(members,
                [](const Member& aMember) { return aMember.mState != MemberState::Alive; });
  const Member* writer = rendezvousWinner(
    mixBits(aPart),
    members,
    [](const Member&) { return 1.0; },
    [](const Member& aMember) { return hashText(aMember.mId.text()); });
  return writer != nullptr && writer->mId == mGossip->self().mId;
}

template<class HostType, class StoreProtocol>
void PlacementArchive<HostType, StoreProtocol>::save(std::size_t aPart)
{
  ++mStoreCalls;
  SavedPart& saved = mSaved[aPart];
  saved.mNextAt = mHost.now() + saved.mInterval;
  saved.mInterval = std::min(2 * saved.mInterval, kMaxSaveInterval);
  const std::uint64_t changes = mPlacements.changes(aPart);
  startBufferedExchange(
    mHost,
    mSource.mStore,
    StoreProtocol::makeWriteRequest(mSource.mStoreTable,
                                    kRowPrefix + std::to_string(aPart),
                                    encodeSavedPlacements(mPlacements.part(aPart))),
    kCallTimeout,
    kMaxResponseBytes,
    [this, aPart, changes, round = mRound](ExchangeResult aResult, const HttpResponse& aResponse) {
      if (aResult == ExchangeResult::Complete && StoreProtocol::parseWriteResponse(aResponse)) {
        if (round == mRound) {
          mSaved[aPart].mChanges = changes;
        }
      } else {
        mHost.log(events::kPlacementsNotSaved,
                  "part=" + std::to_string(aPart) +
                    " reason=\"the store did not confirm\" status=" +
                    std::to_string(aResponse.mHead.mStatus));
      }
    });
}

} // namespace bulrushrun
