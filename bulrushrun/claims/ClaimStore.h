#pragma once

#include "bulrushrun/claims/Claim.h"
#include "bulrushrun/claims/ClaimRecord.h"
#include "bulrushrun/claims/WriteBatcher.h"
#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Host.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Claims of requests that may run at most once, in the platform's table.
///
/// A claim is one conditional write that carries a unique token; it never lapses. A write without
/// an answer is read back by its token, and written again under the same token where nothing is
/// found: a late copy of the first write can then only meet its own record or a later version.
///
/// \code
/// claims.acquire(request, [&](ClaimResult aResult) { ... });
/// \endcode
template<class HostType>
class ClaimStore
{
public:
  using Callback = std::function<void(ClaimResult)>;

  ClaimStore(HostType& aHost, InstanceId aSelf)
    : mHost(aHost)
    , mSelf(std::move(aSelf))
    , mBatcher(aHost)
  {
  }

  /// \brief Tries to claim a key. The callback runs exactly once.
  void acquire(const ClaimRequest& aRequest, Callback aDone)
  {
    const ClaimHandle ticket{ aRequest, ClaimToken{ mHost.random().token() }, RecordVersion{ 0 } };
    write(ticket, kMaxAttempts, std::move(aDone));
  }

  /// \brief Gives an unused claim back. \a aDone learns whether the release is certain.
  void release(const ClaimHandle& aTicket, const std::function<void(bool)>& aDone)
  {
    settle(aTicket, { ClaimState::Released, std::nullopt }, kMaxAttempts, aDone);
  }

  /// \brief Stores the answer of a claim that ran. \a aDone learns whether it is stored.
  void complete(const ClaimHandle& aTicket,
                StoredOutcome aOutcome,
                const std::function<void(bool)>& aDone)
  {
    if (aOutcome.mBody.size() <= kMaxInlineOutcomeBytes) {
      settle(aTicket, { ClaimState::Completed, std::move(aOutcome) }, kMaxCompleteAttempts, aDone);
      return;
    }
    aOutcome.mObject = "outcome/" + aTicket.mToken.text();
    const std::string body = std::exchange(aOutcome.mBody, {});
    putBody(aTicket, aOutcome, body, kMaxCompleteAttempts, aDone);
  }

  /// \brief \returns the batcher, for its rate and its counters.
  WriteBatcher<HostType>& batcher() { return mBatcher; }

private:
  static constexpr int kMaxAttempts = 6;
  static constexpr int kMaxCompleteAttempts = 30;
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

  /// State that a held claim is to be settled in.
  struct Settlement
  {
    ClaimState mState;
    std::optional<StoredOutcome> mOutcome;
  };

  ClaimRecord recordOf(const ClaimHandle& aTicket) const
  {
    return {
      ClaimState::Claimed, aTicket.mToken, aTicket.mRequest.mFingerprint, mSelf, std::nullopt
    };
  }

  Duration retryDelay(int aAttemptsLeft, int aAttempts) const
  {
    const Duration delay = kRetryDelay * (1U << std::min(aAttempts - aAttemptsLeft, 6));
    return std::min(delay, kMaxRetryDelay);
  }

  void write(const ClaimHandle& aTicket, int aAttemptsLeft, Callback aDone)
  {
    TableWrite write{ aTicket.mRequest.mKey,
                      aTicket.mVersion,
                      encodeClaimRecord(recordOf(aTicket)),
                      aTicket.mRequest.mExpires };
    mBatcher.submit(
      std::move(write), WriteUrgency::Immediate, [=, this](TransactionStatus aStatus) {
        onWritten(aTicket, aAttemptsLeft, aStatus, aDone);
      });
  }

  void onWritten(const ClaimHandle& aTicket,
                 int aAttemptsLeft,
                 TransactionStatus aStatus,
                 const Callback& aDone)
  {
    if (aStatus == TransactionStatus::Applied) {
      aDone(won(aTicket, aTicket.mVersion.next()));
    } else if (aStatus == TransactionStatus::Unavailable) {
      giveUp(aTicket, aDone);
    } else {
      readBack(aTicket, aAttemptsLeft, aDone);
    }
  }

  void giveUp(const ClaimHandle& aTicket, const Callback& aDone)
  {
    mHost.log(events::kClaimUnresolved, "key=" + aTicket.mRequest.mKey);
    aDone({});
  }

  void readBack(const ClaimHandle& aTicket, int aAttemptsLeft, const Callback& aDone)
  {
    if (aAttemptsLeft == 0) {
      giveUp(aTicket, aDone);
      return;
    }
    mHost.platform().read(aTicket.mRequest.mKey, [=, this](const ReadResult& aResult) {
      if (aResult.mAnswered) {
        onReadBack(aTicket, aAttemptsLeft - 1, aResult.mRecord, aDone);
      } else {
        mHost.after(retryDelay(aAttemptsLeft, kMaxAttempts),
                    [=, this] { readBack(aTicket, aAttemptsLeft - 1, aDone); });
      }
    });
  }

  void onReadBack(const ClaimHandle& aTicket,
                  int aAttemptsLeft,
                  const std::optional<TableRecord>& aRecord,
                  const Callback& aDone)
  {
    ClaimHandle again = aTicket;
    if (!aRecord) {
      again.mVersion = RecordVersion{ 0 };
      write(again, aAttemptsLeft, aDone);
      return;
    }
    const std::optional<ClaimRecord> record = decodeClaimRecord(aRecord->mValue);
    if (!record) {
      giveUp(aTicket, aDone);
    } else if (record->mState == ClaimState::Claimed && record->mToken == aTicket.mToken) {
      aDone(won(aTicket, aRecord->mVersion));
    } else if (record->mState == ClaimState::Released) {
      again.mVersion = aRecord->mVersion;
      write(again, aAttemptsLeft, aDone);
    } else if (record->mFingerprint != aTicket.mRequest.mFingerprint) {
      aDone({ ClaimStatus::KeyMismatch, std::nullopt, std::nullopt });
    } else if (record->mState == ClaimState::Claimed) {
      aDone({ ClaimStatus::HeldByOther, std::nullopt, std::nullopt });
    } else {
      replay(*record->mOutcome, aDone);
    }
  }

  static ClaimResult won(const ClaimHandle& aTicket, RecordVersion aVersion)
  {
    ClaimHandle ticket = aTicket;
    ticket.mVersion = aVersion;
    return { ClaimStatus::Acquired, ticket, std::nullopt };
  }

  void replay(const StoredOutcome& aOutcome, const Callback& aDone)
  {
    if (aOutcome.mObject.empty()) {
      aDone({ ClaimStatus::Replay, std::nullopt, aOutcome });
      return;
    }
    mHost.platform().readObject(aOutcome.mObject, [=](const ObjectResult& aResult) {
      if (!aResult.mAnswered || !aResult.mBytes) {
        aDone({ ClaimStatus::HeldByOther, std::nullopt, std::nullopt });
        return;
      }
      StoredOutcome outcome = aOutcome;
      outcome.mBody = *aResult.mBytes;
      aDone({ ClaimStatus::Replay, std::nullopt, outcome });
    });
  }

  void putBody(const ClaimHandle& aTicket,
               const StoredOutcome& aOutcome,
               const std::string& aBody,
               int aAttemptsLeft,
               const std::function<void(bool)>& aDone)
  {
    mHost.platform().putObject(aOutcome.mObject, aBody, [=, this](bool aStored) {
      if (aStored) {
        settle(aTicket, { ClaimState::Completed, aOutcome }, aAttemptsLeft, aDone);
      } else if (aAttemptsLeft == 0) {
        aDone(false);
      } else {
        mHost.after(retryDelay(aAttemptsLeft, kMaxCompleteAttempts),
                    [=, this] { putBody(aTicket, aOutcome, aBody, aAttemptsLeft - 1, aDone); });
      }
    });
  }

  /// Moves a held claim to its final state; repeats until the effect is certain or attempts run
  /// out.
  void settle(const ClaimHandle& aTicket,
              const Settlement& aSettlement,
              int aAttemptsLeft,
              const std::function<void(bool)>& aDone)
  {
    if (aAttemptsLeft == 0) {
      aDone(false);
      return;
    }
    ClaimRecord record = recordOf(aTicket);
    record.mState = aSettlement.mState;
    record.mOutcome = aSettlement.mOutcome;
    TableWrite write{
      aTicket.mRequest.mKey, aTicket.mVersion, encodeClaimRecord(record), aTicket.mRequest.mExpires
    };
    const WriteUrgency urgency =
      aSettlement.mState == ClaimState::Released ? WriteUrgency::Immediate : WriteUrgency::Deferred;
    mBatcher.submit(std::move(write), urgency, [=, this](TransactionStatus aStatus) {
      if (aStatus == TransactionStatus::Applied) {
        aDone(true);
      } else if (aStatus == TransactionStatus::Conflict) {
        confirm(aTicket, aSettlement, aAttemptsLeft - 1, aDone);
      } else {
        mHost.after(retryDelay(aAttemptsLeft, kMaxCompleteAttempts),
                    [=, this] { settle(aTicket, aSettlement, aAttemptsLeft - 1, aDone); });
      }
    });
  }

  /// After a conflict: an earlier copy of the same settlement may have been applied.
  void confirm(const ClaimHandle& aTicket,
               const Settlement& aSettlement,
               int aAttemptsLeft,
               const std::function<void(bool)>& aDone)
  {
    mHost.platform().read(aTicket.mRequest.mKey, [=, this](const ReadResult& aResult) {
      if (!aResult.mAnswered) {
        mHost.after(kRetryDelay, [=, this] { settle(aTicket, aSettlement, aAttemptsLeft, aDone); });
        return;
      }
      const std::optional<ClaimRecord> record =
        aResult.mRecord ? decodeClaimRecord(aResult.mRecord->mValue) : std::nullopt;
      const bool mine = record && record->mToken == aTicket.mToken;
      aDone(mine && record->mState == aSettlement.mState);
    });
  }

  HostType& mHost;
  InstanceId mSelf;
  WriteBatcher<HostType> mBatcher;
};

} // namespace bulrushrun
