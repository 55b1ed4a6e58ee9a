#pragma once

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

/// \brief What the exchange needs of the instance that owns it.
struct ReplicatorCallbacks
{
  /// \returns how far this instance knows the tables, and how current that is.
  std::function<PeerChangesRequest()> mLocalProgress;
  /// \returns what this instance knows beyond a progress, and how current it is.
  std::function<PeerChanges(const ReplicationProgress&)> mMakePeerChanges;
  /// Takes what a peer told.
  std::function<void(const PeerChanges&)> mOnPeerChanges;
  /// \returns a peer to ask; the flag is true when the last one was of no use.
  std::function<std::optional<Endpoint>(bool)> mChoosePeer;
};

/// \brief Keeps instances informed of the store's tables through each other, so that one which the
/// store turns away learns what others learn.
///
/// Each instance holds one question open at one peer, which answers as soon as it knows more.
template<class HostType>
class PeerReplicator
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;

  /// \param aPeriod  an answer is expected this often; one that knows nothing new says that
  PeerReplicator(HostType& aHost,
                 std::vector<std::string> aKeys,
                 Duration aPeriod,
                 ReplicatorCallbacks aOwner)
    : mHost(aHost)
    , mKeys(std::move(aKeys))
    , mPeriod(aPeriod)
    , mOwner(std::move(aOwner))
  {
  }

  /// \brief Makes the next question go to a peer chosen anew, because the roles changed.
  void resetPeer() { mPeer.reset(); }

  /// \brief Begins to ask peers.
  void start() { ask(); }

  /// \brief Handles a question of a peer. \returns false when the request is another one
  bool handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    const std::optional<PeerChangesRequest> question = parsePeerChangesRequest(aRequest.mPath);
    if (!question) {
      return false;
    }
    const TimePoint now = mHost.now();
    mWaiting.push_back({ aResponder,
                         question->mProgress,
                         now - question->mStaleness,
                         now + std::min(question->mMaxWait, kMaxWait) });
    answerPendingRequests();
    return true;
  }

  /// \brief Answers the peers that wait for what is new; to be called after each change, and now
  /// and then, so that questions end.
  void answerPendingRequests()
  {
    const TimePoint now = mHost.now();
    const PeerChangesRequest own = mOwner.mLocalProgress();
    std::erase_if(mWaiting, [&](const Waiting& aWaiting) {
      const bool fresher = now - own.mStaleness > aWaiting.mCurrentAt + mPeriod / kFresherPart;
      const bool beyond = isBeyond(own.mProgress, aWaiting.mProgress);
      if (!beyond && !fresher && now < aWaiting.mUntil) {
        return aWaiting.mResponder->isDisconnected();
      }
      const PeerChanges news = mOwner.mMakePeerChanges(aWaiting.mProgress);
      HttpResponse response;
      response.mHead.mHeaders = { { "Content-Type", "application/octet-stream" } };
      response.mBody = encodePeerChanges(news, mKeys.front());
      respond(*aWaiting.mResponder, response);
      return true;
    });
  }

private:
  static constexpr Duration kMaxWait = std::chrono::seconds(10);
  /// Time on the way, beyond which a question without an answer is given up.
  static constexpr Duration kSlack = std::chrono::milliseconds(300);
  static constexpr Duration kPause = std::chrono::milliseconds(100);
  /// An answer that tells no news is worth sending when it is fresher by this part of the period.
  static constexpr int kFresherPart = 4;
  /// The choice is made anew after this span at the latest.
  static constexpr Duration kPeerSpan = std::chrono::seconds(8);
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{ 8 } * 1024 * 1024;

  struct Waiting
  {
    ResponderPtr mResponder;
    ReplicationProgress mProgress;
    TimePoint mCurrentAt;
    TimePoint mUntil;
  };

  static bool isBeyond(const ReplicationProgress& aTheirs, const ReplicationProgress& aOurs)
  {
    for (std::size_t i = 0; i < kReplicatedTables; ++i) {
      if (aTheirs[i].mCompleteVersion > aOurs[i].mCompleteVersion ||
          aTheirs[i].mNewestVersion > aOurs[i].mNewestVersion) {
        return true;
      }
    }
    return false;
  }

  void askLater()
  {
    mPeer.reset();
    mHost.after(kPause, [this] { ask(); });
  }

  void ask()
  {
    if (!mPeer || mHost.now() - mChosenAt > kPeerSpan) {
      mPeer = mOwner.mChoosePeer(mDisappointed);
      mChosenAt = mHost.now();
    }
    if (!mPeer) {
      askLater();
      return;
    }
    HttpRequest question;
    question.mMethod = "GET";
    PeerChangesRequest own = mOwner.mLocalProgress();
    own.mMaxWait = mPeriod;
    mAskedAt = mHost.now();
    mAskedWith = own.mProgress;
    question.mPath = peerChangesPath(own);
    startBufferedExchange(
      mHost,
      *mPeer,
      std::move(question),
      mPeriod + kSlack,
      kMaxAnswerBytes,
      [this](ExchangeResult aEnd, const HttpResponse& aResponse) { onAnswer(aEnd, aResponse); });
  }

  void onAnswer(ExchangeResult aEnd, const HttpResponse& aResponse)
  {
    const std::optional<PeerChanges> news =
      aEnd == ExchangeResult::Complete ? decodePeerChanges(aResponse.mBody, mKeys) : std::nullopt;
    mDisappointed = !news || news->mStaleness > mPeriod + kSlack;
    if (news) {
      mOwner.mOnPeerChanges(*news);
    }
    const bool idle =
      mHost.now() - mAskedAt < kPause && mOwner.mLocalProgress().mProgress == mAskedWith;
    if (mDisappointed) {
      askLater();
    } else if (idle) {
      // Two copies that differ for good must not question each other without a pause.
      mHost.after(kPause, [this] { ask(); });
    } else {
      ask();
    }
  }

  HostType& mHost;
  std::vector<std::string> mKeys;
  Duration mPeriod;
  ReplicatorCallbacks mOwner;
  std::list<Waiting> mWaiting;
  std::optional<Endpoint> mPeer;
  TimePoint mChosenAt;
  TimePoint mAskedAt;
  ReplicationProgress mAskedWith;
  bool mDisappointed = false;
};

} // namespace bulrushrun
