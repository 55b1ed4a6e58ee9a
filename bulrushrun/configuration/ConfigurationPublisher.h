#pragma once

#include "bulrushrun/configuration/ConfigurationRecord.h"
#include "bulrushrun/configuration/DocumentReader.h"
#include "bulrushrun/host/Host.h"

#include <functional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Configuration change that an operator submits.
struct Proposal
{
  std::string mText;
  /// Version that the text is based on.
  ConfigurationVersion mBaseVersion;
  /// Unique id, by which a proposal that is sent again is recognized.
  std::string mChangeId;
  std::string mAuthor;
  std::string mReason;
};

/// \brief Result of publishing a proposal.
enum class PublishStatus
{
  Accepted,
  /// The text is invalid; the report lists its findings.
  Invalid,
  /// Another change was accepted first; mVersion is the current version.
  Conflict,
  /// The store could not be reached; nothing was changed.
  Unavailable,
  /// The write was sent but its result is unknown; sending the same proposal again finds out
  /// whether it was applied.
  Unresolved,
};

/// \brief Result of a proposal, with the version or the findings that belong to it.
struct PublishResult
{
  PublishStatus mStatus = PublishStatus::Unavailable;
  ConfigurationVersion mVersion;
  std::string mReport;
};

/// \brief Publishes configurations by one conditional write from version N to N + 1.
///
/// The text is stored first, under its content hash. When the response to the write is lost, the
/// record is read back and its change id is compared.
template<class HostType>
class ConfigurationPublisher
{
public:
  using Callback = std::function<void(PublishResult)>;

  explicit ConfigurationPublisher(HostType& aHost)
    : mHost(aHost)
  {
  }

  /// \brief Tries to publish a proposal. The callback runs exactly once.
  void publish(const Proposal& aProposal, Callback aDone)
  {
    Findings findings;
    if (!readDocument(aProposal.mText, "configuration", findings)) {
      aDone({ PublishStatus::Invalid, {}, findings.report() });
      return;
    }
    mHost.platform().read(kCurrentVersionKey, [=, this](const ReadResult& aResult) {
      if (!aResult.mAnswered) {
        aDone({});
      } else if (!decideByCurrentVersion(aProposal, aResult, aDone)) {
        storeText(aProposal, aDone);
      }
    });
  }

private:
  static constexpr int kMaxReadBacks = 12;
  static constexpr Duration kReadBackDelay = std::chrono::milliseconds(250);

  /// Completes the proposal if the record of the current version shows that it was accepted, or
  /// that another change was accepted first. \returns false when it is still undecided
  static bool decideByCurrentVersion(const Proposal& aProposal,
                                     const ReadResult& aResult,
                                     const Callback& aDone)
  {
    const ConfigurationVersion currentVersion{ aResult.mRecord ? aResult.mRecord->mVersion.value()
                                                               : 0 };
    const std::optional<ConfigurationRecord> record =
      aResult.mRecord ? decodeConfigurationRecord(aResult.mRecord->mValue) : std::nullopt;
    if (record && record->mChangeId == aProposal.mChangeId) {
      aDone({ PublishStatus::Accepted, currentVersion, {} });
      return true;
    }
    if (currentVersion != aProposal.mBaseVersion) {
      aDone({ PublishStatus::Conflict, currentVersion, {} });
      return true;
    }
    return false;
  }

  void storeText(const Proposal& aProposal, const Callback& aDone)
  {
    const std::string name = configurationObjectName(sha256Hex(aProposal.mText));
    mHost.platform().putObject(name, aProposal.mText, [=, this](bool aStored) {
      if (aStored) {
        writeCurrentVersion(aProposal, aDone);
      } else {
        aDone({});
      }
    });
  }

  void writeCurrentVersion(const Proposal& aProposal, const Callback& aDone)
  {
    const ConfigurationVersion version = aProposal.mBaseVersion.next();
    const std::string record = encodeConfigurationRecord({ version,
                                                           sha256Hex(aProposal.mText),
                                                           aProposal.mChangeId,
                                                           aProposal.mAuthor,
                                                           aProposal.mReason,
                                                           mHost.wallTime() });
    const Transaction transaction{
      { kCurrentVersionKey,
        RecordVersion{ aProposal.mBaseVersion.value() },
        record,
        UnixSeconds{ 0 } },
      { configurationVersionKey(version), RecordVersion{ 0 }, record, UnixSeconds{ 0 } }
    };
    mHost.platform().transact(transaction, [=, this](const TransactionResult& aResult) {
      if (aResult.mStatus == TransactionStatus::Applied) {
        aDone({ PublishStatus::Accepted, version, {} });
      } else if (aResult.mStatus == TransactionStatus::Unavailable) {
        aDone({});
      } else {
        readBack(aProposal, kMaxReadBacks, aDone);
      }
    });
  }

  void readBack(const Proposal& aProposal, int aAttemptsLeft, const Callback& aDone)
  {
    if (aAttemptsLeft == 0) {
      aDone({ PublishStatus::Unresolved, aProposal.mBaseVersion, {} });
      return;
    }
    mHost.platform().read(kCurrentVersionKey, [=, this](const ReadResult& aResult) {
      if (aResult.mAnswered && decideByCurrentVersion(aProposal, aResult, aDone)) {
        return;
      }
      if (aResult.mAnswered) {
        // Not applied so far. A second write either is applied or conflicts with the record of the
        // first one, which has the same change id.
        writeCurrentVersion(aProposal, aDone);
        return;
      }
      mHost.after(kReadBackDelay, [=, this] { readBack(aProposal, aAttemptsLeft - 1, aDone); });
    });
  }

  HostType& mHost;
};

} // namespace bulrushrun
