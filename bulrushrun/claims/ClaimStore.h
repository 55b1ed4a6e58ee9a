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

/// \brief Stores the claims of requests that must be executed at most once, in the platform's
/// table.
///
/// A claim is one conditional write with a unique token; it never expires while it is held. After a
/// write without a response, the record is read back and identified by the token. If there is no
/// record, the write is repeated with the same token: if the first write then takes effect late,
/// its condition fails, on the claim's own record or on a later version.
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

  /// \brief Tries to acquire a claim. The callback runs exactly once.
  void acquire(const ClaimRequest& aRequest, Callback aDone)
  {
    const ClaimHandle handle{ aRequest, ClaimToken{ mHost.random().token() }, RecordVersion{ 0 } };
    write(handle, kMaxAttempts, std::move(aDone));
  }

  /// \brief Releases an unused claim. \a aDone gets true if the release is certain to be applied.
  void release(const ClaimHandle& aHandle, const std::function<void(bool)>& aDone)
  {
    writeFinalState(aHandle, { ClaimState::Released, std::nullopt }, kMaxAttempts, aDone);
  }

  /// \brief Stores the response of an executed request. \a aDone gets true if it is stored.
  void complete(const ClaimHandle& aHandle,
                StoredOutcome aOutcome,
                const std::function<void(bool)>& aDone)
  {
    if (aOutcome.mBody.size() <= kMaxInlineOutcomeBytes) {
      writeFinalState(
        aHandle, { ClaimState::Completed, std::move(aOutcome) }, kMaxCompleteAttempts, aDone);
      return;
    }
    aOutcome.mObject = "outcome/" + aHandle.mToken.text();
    const std::string body = std::exchange(aOutcome.mBody, {});
    storeBody(aHandle, aOutcome, body, kMaxCompleteAttempts, aDone);
  }

  /// \brief \returns the batcher, for its rate limit and counters.
  WriteBatcher<HostType>& batcher() { return mBatcher; }

private:
  static constexpr int kMaxAttempts = 6;
  static constexpr int kMaxCompleteAttempts = 30;
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

  /// Final state of a held claim.
  struct FinalState
  {
    ClaimState mState;
    std::optional<StoredOutcome> mOutcome;
  };

  ClaimRecord recordOf(const ClaimHandle& aHandle) const
  {
    return {
      ClaimState::Claimed, aHandle.mToken, aHandle.mRequest.mFingerprint, mSelf, std::nullopt
    };
  }

  Duration retryDelay(int aAttemptsLeft, int aAttempts) const
  {
    const Duration delay = kRetryDelay * (1U << std::min(aAttempts - aAttemptsLeft, 6));
    return std::min(delay, kMaxRetryDelay);
  }

  void write(const ClaimHandle& aHandle, int aAttemptsLeft, Callback aDone)
  {
    TableWrite write{ aHandle.mRequest.mKey,
                      aHandle.mVersion,
                      encodeClaimRecord(recordOf(aHandle)),
                      aHandle.mRequest.mExpires };
    mBatcher.submit(
      std::move(write), WriteUrgency::Immediate, [=, this](TransactionStatus aStatus) {
        onWritten(aHandle, aAttemptsLeft, aStatus, aDone);
      });
  }

  void onWritten(const ClaimHandle& aHandle,
                 int aAttemptsLeft,
                 TransactionStatus aStatus,
                 const Callback& aDone)
  {
    if (aStatus == TransactionStatus::Applied) {
      aDone(acquired(aHandle, aHandle.mVersion.next()));
    } else if (aStatus == TransactionStatus::Unavailable) {
      reportUnresolved(aHandle, aDone);
    } else {
      readBack(aHandle, aAttemptsLeft, aDone);
    }
  }

  void reportUnresolved(const ClaimHandle& aHandle, const Callback& aDone)
  {
    mHost.log(events::kClaimUnresolved, "key=" + aHandle.mRequest.mKey);
    aDone({});
  }

  void readBack(const ClaimHandle& aHandle, int aAttemptsLeft, const Callback& aDone)
  {
    if (aAttemptsLeft == 0) {
      reportUnresolved(aHandle, aDone);
      return;
    }
    mHost.platform().read(aHandle.mRequest.mKey, [=, this](const ReadResult& aResult) {
      if (aResult.mAnswered) {
        onReadBack(aHandle, aAttemptsLeft - 1, aResult.mRecord, aDone);
      } else {
        mHost.after(retryDelay(aAttemptsLeft, kMaxAttempts),
                    [=, this] { readBack(aHandle, aAttemptsLeft - 1, aDone); });
      }
    });
  }

  void onReadBack(const ClaimHandle& aHandle,
                  int aAttemptsLeft,
                  const std::optional<TableRecord>& aRecord,
                  const Callback& aDone)
  {
    ClaimHandle retryHandle = aHandle;
    if (!aRecord) {
      retryHandle.mVersion = RecordVersion{ 0 };
      write(retryHandle, aAttemptsLeft, aDone);
      return;
    }
    const std::optional<ClaimRecord> record = decodeClaimRecord(aRecord->mValue);
    if (!record) {
      reportUnresolved(aHandle, aDone);
    } else if (record->mState == ClaimState::Claimed && record->mToken == aHandle.mToken) {
      aDone(acquired(aHandle, aRecord->mVersion));
    } else if (record->mState == ClaimState::Released) {
      retryHandle.mVersion = aRecord->mVersion;
      write(retryHandle, aAttemptsLeft, aDone);
    } else if (record->mFingerprint != aHandle.mRequest.mFingerprint) {
      aDone({ ClaimStatus::KeyMismatch, std::nullopt, std::nullopt });
    } else if (record->mState == ClaimState::Claimed) {
      aDone({ ClaimStatus::HeldByOther, std::nullopt, std::nullopt });
    } else {
      replay(*record->mOutcome, aDone);
    }
  }

  static ClaimResult acquired(const ClaimHandle& aHandle, RecordVersion aVersion)
  {
    ClaimHandle handle = aHandle;
    handle.mVersion = aVersion;
    return { ClaimStatus::Acquired, handle, std::nullopt };
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

  void storeBody(const ClaimHandle& aHandle,
                 const StoredOutcome& aOutcome,
                 const std::string& aBody,
                 int aAttemptsLeft,
                 const std::function<void(bool)>& aDone)
  {
    mHost.platform().putObject(aOutcome.mObject, aBody, [=, this](bool aStored) {
      if (aStored) {
        writeFinalState(aHandle, { ClaimState::Completed, aOutcome }, aAttemptsLeft, aDone);
      } else if (aAttemptsLeft == 0) {
        aDone(false);
      } else {
        mHost.after(retryDelay(aAttemptsLeft, kMaxCompleteAttempts),
                    [=, this] { storeBody(aHandle, aOutcome, aBody, aAttemptsLeft - 1, aDone); });
      }
    });
  }

  /// Writes the final state of a held claim; retries until the result is certain or no attempts are
  /// left.
  void writeFinalState(const ClaimHandle& aHandle,
                       const FinalState& aFinalState,
                       int aAttemptsLeft,
                       const std::function<void(bool)>& aDone)
  {
    if (aAttemptsLeft == 0) {
      aDone(false);
      return;
    }
    ClaimRecord record = recordOf(aHandle);
    record.mState = aFinalState.mState;
    record.mOutcome = aFinalState.mOutcome;
    TableWrite write{
      aHandle.mRequest.mKey, aHandle.mVersion, encodeClaimRecord(record), aHandle.mRequest.mExpires
    };
    const WriteUrgency urgency =
      aFinalState.mState == ClaimState::Released ? WriteUrgency::Immediate : WriteUrgency::Deferred;
    mBatcher.submit(std::move(write), urgency, [=, this](TransactionStatus aStatus) {
      if (aStatus == TransactionStatus::Applied) {
        aDone(true);
      } else if (aStatus == TransactionStatus::Conflict) {
        confirmFinalState(aHandle, aFinalState, aAttemptsLeft - 1, aDone);
      } else {
        mHost.after(retryDelay(aAttemptsLeft, kMaxCompleteAttempts),
                    [=, this] { writeFinalState(aHandle, aFinalState, aAttemptsLeft - 1, aDone); });
      }
    });
  }

  /// Resolves a conflict: an earlier write of the same final state may have been applied.
  void confirmFinalState(const ClaimHandle& aHandle,
                         const FinalState& aFinalState,
                         int aAttemptsLeft,
                         const std::function<void(bool)>& aDone)
  {
    mHost.platform().read(aHandle.mRequest.mKey, [=, this](const ReadResult& aResult) {
      if (!aResult.mAnswered) {
        mHost.after(kRetryDelay,
                    [=, this] { writeFinalState(aHandle, aFinalState, aAttemptsLeft, aDone); });
        return;
      }
      const std::optional<ClaimRecord> record =
        aResult.mRecord ? decodeClaimRecord(aResult.mRecord->mValue) : std::nullopt;
      const bool isOwn = record && record->mToken == aHandle.mToken;
      aDone(isOwn && record->mState == aFinalState.mState);
    });
  }

  HostType& mHost;
  InstanceId mSelf;
  WriteBatcher<HostType> mBatcher;
};

} // namespace bulrushrun
