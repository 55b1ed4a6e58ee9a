#pragma once

#include "bulrushrun/configuration/ConfigurationRecord.h"
#include "bulrushrun/configuration/DocumentReader.h"
#include "bulrushrun/host/Host.h"

#include <functional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Configuration that an operator wants accepted.
struct Proposal
{
  std::string mText;
  /// Version that the text was edited from.
  ConfigurationVersion mBaseVersion;
  /// Unique id; the same proposal sent again is recognised by it.
  std::string mChangeId;
  std::string mAuthor;
  std::string mReason;
};

/// \brief How a proposal ended.
enum class PublishStatus
{
  Accepted,
  /// The text has findings.
  Invalid,
  /// Another change came first; mVersion is the version in force.
  Conflict,
  /// The store could not be reached; nothing was changed.
  Unavailable,
  /// The store took the write and gave no answer within the limit; the same proposal sent again
  /// learns what became of it.
  Unresolved,
};

/// \brief Answer to a proposal.
struct PublishResult
{
  PublishStatus mStatus = PublishStatus::Unavailable;
  ConfigurationVersion mVersion;
  std::string mReport;
};

/// \brief Gets proposals accepted: one conditional write from version N to N + 1.
///
/// The text is stored first, under its content hash. An answer that was lost is resolved by reading
/// the record back and comparing the change id.
template<class HostType>
class ConfigurationPublisher
{
public:
  using Callback = std::function<void(PublishResult)>;

  explicit ConfigurationPublisher(HostType& aHost)
    : mHost(aHost)
  {
  }

  /// \brief Tries to get a proposal accepted. The callback runs exactly once.
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
      } else if (!decideByHead(aProposal, aResult, aDone)) {
        storeText(aProposal, aDone);
      }
    });
  }

private:
  static constexpr int kMaxReadBacks = 12;
  static constexpr Duration kReadBackDelay = std::chrono::milliseconds(250);

  /// \returns true when the record already tells how the proposal ended.
  static bool decideByHead(const Proposal& aProposal,
                           const ReadResult& aResult,
                           const Callback& aDone)
  {
    const ConfigurationVersion head{ aResult.mRecord ? aResult.mRecord->mVersion.value() : 0 };
    const std::optional<ConfigurationRecord> record =
      aResult.mRecord ? decodeConfigurationRecord(aResult.mRecord->mValue) : std::nullopt;
    if (record && record->mChangeId == aProposal.mChangeId) {
      aDone({ PublishStatus::Accepted, head, {} });
      return true;
    }
    if (head != aProposal.mBaseVersion) {
      aDone({ PublishStatus::Conflict, head, {} });
      return true;
    }
    return false;
  }

  void storeText(const Proposal& aProposal, const Callback& aDone)
  {
    const std::string name = configurationObjectName(sha256Hex(aProposal.mText));
    mHost.platform().putObject(name, aProposal.mText, [=, this](bool aStored) {
      if (aStored) {
        writeHead(aProposal, aDone);
      } else {
        aDone({});
      }
    });
  }

  void writeHead(const Proposal& aProposal, const Callback& aDone)
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
      if (aResult.mAnswered && decideByHead(aProposal, aResult, aDone)) {
        return;
      }
      if (aResult.mAnswered) {
        // Not applied so far. Written again, it is either applied now or meets its own record.
        writeHead(aProposal, aDone);
        return;
      }
      mHost.after(kReadBackDelay, [=, this] { readBack(aProposal, aAttemptsLeft - 1, aDone); });
    });
  }

  HostType& mHost;
};

} // namespace bulrushrun
