#pragma once

#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Http.h"
#include "bulrushrun/host/Responder.h"
#include "bulrushrun/store/BufferedExchange.h"
#include "bulrushrun/store/PeerReplicationCodec.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Callbacks into the instance that owns a PeerReplicator.
struct ReplicatorCallbacks
{
  /// \returns the progress and staleness of this instance's replicas.
  std::function<PeerChangesRequest()> mLocalProgress;
  /// \returns the progress beyond which changes are requested; a version of 0 requests the whole
  /// table.
  std::function<PeerChangesRequest()> mMakeRequest;
  /// \returns the changes beyond a progress, with the staleness of this instance's replicas.
  std::function<PeerChanges(const ReplicationProgress&)> mMakePeerChanges;
  /// Applies changes received from the peer at an endpoint.
  std::function<void(const PeerChanges&, const Endpoint&)> mOnPeerChanges;
  /// \returns the peer for the next requests; the flag is true when the last response failed or was
  /// stale.
  std::function<std::optional<Endpoint>(bool)> mChoosePeer;
};

/// \brief Replicates the store's tables between instances, so that an instance whose calls the
/// store rejects still receives the changes that others have received.
///
/// Each instance keeps one request open at one peer (long polling), which responds as soon as it
/// has changes that the requester lacks.
template<class HostType>
class PeerReplicator
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;

  /// \param aPeriod  interval in which a response is expected; without changes, the response only
  /// reports the staleness
  PeerReplicator(HostType& aHost,
                 std::vector<std::string> aKeys,
                 Duration aPeriod,
                 ReplicatorCallbacks aCallbacks)
    : mHost(aHost)
    , mKeys(std::move(aKeys))
    , mPeriod(aPeriod)
    , mCallbacks(std::move(aCallbacks))
  {
  }

  /// \brief Makes the next request go to a newly chosen peer; used when the roles have changed.
  void resetPeer() { mPeer.reset(); }

  /// \brief Starts to request changes from peers.
  void start() { sendRequest(); }

  /// \brief Handles a peer's request for changes. \returns false when the request is another one
  bool handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    const std::optional<PeerChangesRequest> request = parsePeerChangesRequest(aRequest.mPath);
    if (!request) {
      return false;
    }
    const TimePoint now = mHost.now();
    mPendingRequests.push_back({ aResponder,
                                 request->mProgress,
                                 now,
                                 now - request->mStaleness,
                                 now + std::min(request->mMaxWait, kMaxWait),
                                 request->mAcceptsCompressed });
    respondToPendingRequests();
    return true;
  }

  /// \brief Responds to held requests for which there are changes or whose time is up; to be called
  /// after each change, and periodically so that held requests end.
  void respondToPendingRequests()
  {
    const TimePoint now = mHost.now();
    const PeerChangesRequest own = mCallbacks.mLocalProgress();
    std::erase_if(mPendingRequests, [&](const PendingRequest& aPending) {
      const bool isFresher =
        now - own.mStaleness > aPending.mReplicasCurrentAt + mPeriod / kFreshnessDivisor;
      // A requester at a newer epoch asks another peer.
      const bool hasChanges = isAhead(own.mProgress, aPending.mProgress) ||
                              isOfOlderEpoch(own.mProgress, aPending.mProgress);
      if (!hasChanges && !isFresher && now < aPending.mExpiresAt) {
        return aPending.mResponder->isDisconnected();
      }
      PeerChanges changes = mCallbacks.mMakePeerChanges(aPending.mProgress);
      changes.mAcceptsCompressed = aPending.mAcceptsCompressed;
      changes.mHeld = now - aPending.mReceivedAt;
      HttpResponse response;
      response.mHead.mHeaders = { { "Content-Type", "application/octet-stream" } };
      response.mBody = encodePeerChanges(changes, mKeys.front());
      respond(*aPending.mResponder, response);
      return true;
    });
  }

private:
  static constexpr Duration kMaxWait = std::chrono::seconds(10);
  /// Allowance for the transfer, in addition to the period; a request without a response is then
  /// aborted.
  static constexpr Duration kTransferAllowance = std::chrono::milliseconds(300);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
  /// A response without changes is sent when this instance's replicas are fresher than the
  /// requester's by this fraction of the period.
  static constexpr int kFreshnessDivisor = 4;
  /// Another peer is chosen after this time at the latest.
  static constexpr Duration kMaxPeerDuration = std::chrono::seconds(8);
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 8 } * 1024 * 1024;

  struct PendingRequest
  {
    ResponderPtr mResponder;
    ReplicationProgress mProgress;
    TimePoint mReceivedAt;
    TimePoint mReplicasCurrentAt;
    TimePoint mExpiresAt;
    bool mAcceptsCompressed = false;
  };

  static bool isAhead(const ReplicationProgress& aLeft, const ReplicationProgress& aRight)
  {
    for (std::size_t i = 0; i < kReplicatedTables; ++i) {
      if (isAhead(aLeft[i], aRight[i])) {
        return true;
      }
    }
    return false;
  }

  static bool isAhead(const TableProgress& aLeft, const TableProgress& aRight)
  {
    if (aLeft.mEpoch != aRight.mEpoch) {
      return aLeft.mEpoch > aRight.mEpoch;
    }
    // After a rise, replicas that are equal differ in the versions of their tombstones.
    const RecordVersion newest = aRight.mEpoch == StoreEpoch{}
                                   ? aRight.mNewestVersion
                                   : std::max(aRight.mNewestVersion, aRight.mCompleteVersion);
    return aLeft.mCompleteVersion > aRight.mCompleteVersion || aLeft.mNewestVersion > newest;
  }

  /// \returns true when a table of a peer is of an older epoch, so that its changes are of no use.
  static bool isOfOlderEpoch(const ReplicationProgress& aPeer, const ReplicationProgress& aOwn)
  {
    for (std::size_t i = 0; i < kReplicatedTables; ++i) {
      if (aPeer[i].mEpoch < aOwn[i].mEpoch) {
        return true;
      }
    }
    return false;
  }

  void sendRequestLater()
  {
    mPeer.reset();
    mHost.after(kRetryDelay, [this] { sendRequest(); });
  }

  void sendRequest()
  {
    if (!mPeer || mHost.now() - mChosenAt > kMaxPeerDuration) {
      mPeer = mCallbacks.mChoosePeer(mLastResponseUnusable);
      mChosenAt = mHost.now();
    }
    if (!mPeer) {
      sendRequestLater();
      return;
    }
    HttpRequest request;
    request.mMethod = "GET";
    PeerChangesRequest own = mCallbacks.mMakeRequest();
    own.mMaxWait = mPeriod;
    mRequestedAt = mHost.now();
    mRequestedProgress = own.mProgress;
    request.mPath = peerChangesPath(own);
    const Endpoint peer = *mPeer;
    startBufferedExchange(mHost,
                          peer,
                          std::move(request),
                          mPeriod + kTransferAllowance,
                          kMaxResponseBytes,
                          [this, peer](ExchangeResult aResult, const HttpResponse& aResponse) {
                            onResponse(peer, aResult, aResponse);
                          });
  }

  void onResponse(const Endpoint& aPeer, ExchangeResult aResult, const HttpResponse& aResponse)
  {
    std::optional<PeerChanges> changes = aResult == ExchangeResult::Complete
                                           ? decodePeerChanges(aResponse.mBody, mKeys)
                                           : std::nullopt;
    if (!changes) {
      mHost.log(events::kTransferInterrupted,
                "source=peer peer=" + aPeer.text() +
                  " bytes=" + std::to_string(aResponse.mBody.size()) +
                  " ms=" + std::to_string(toMillis(mHost.now() - mRequestedAt)));
    }
    mLastResponseUnusable = !changes || changes->mStaleness > mPeriod + kTransferAllowance ||
                            isOfOlderEpoch(changes->mProgress, mRequestedProgress);
    if (changes) {
      // The responder measured its staleness when it sent the response. All of the time for which
      // it is not known to have held the request may have passed since.
      const Duration elapsed = mHost.now() - mRequestedAt;
      changes->mStaleness +=
        std::max(elapsed - changes->mHeld.value_or(Duration{ 0 }), Duration{ 0 });
    }
    if (changes) {
      changes->mRequested = mRequestedProgress;
      mCallbacks.mOnPeerChanges(*changes, aPeer);
    }
    const bool hasNoProgress = mHost.now() - mRequestedAt < kRetryDelay &&
                               mCallbacks.mLocalProgress().mProgress == mRequestedProgress;
    if (mLastResponseUnusable) {
      sendRequestLater();
    } else if (hasNoProgress) {
      // Two replicas that differ permanently must not poll each other in a busy loop.
      mHost.after(kRetryDelay, [this] { sendRequest(); });
    } else {
      sendRequest();
    }
  }

  HostType& mHost;
  std::vector<std::string> mKeys;
  Duration mPeriod;
  ReplicatorCallbacks mCallbacks;
  std::list<PendingRequest> mPendingRequests;
  std::optional<Endpoint> mPeer;
  TimePoint mChosenAt;
  TimePoint mRequestedAt;
  ReplicationProgress mRequestedProgress;
  bool mLastResponseUnusable = false;
};

} // namespace bulrushrun
