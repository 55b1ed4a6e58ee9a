#pragma once

#include "bulrushrun/core.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Typed interface to the platform's services: table, object store and instance list.

namespace bulrushrun {

/// \brief Maximum number of writes in one transaction.
inline constexpr std::size_t kMaxTransactionWrites = 100;

/// \brief Conditional write of one record.
///
/// Applies only if the current version of the record is mExpectedVersion; 0 means that the record
/// must not exist. The write sets the version to mExpectedVersion + 1.
struct TableWrite
{
  std::string mKey;
  RecordVersion mExpectedVersion;
  std::string mValue;
  /// The table may delete the record after this time; 0 means never.
  UnixSeconds mExpires{ 0 };
};

/// \brief Writes that are applied atomically.
using Transaction = std::vector<TableWrite>;

/// \brief Known effect of a transaction.
enum class TransactionStatus
{
  Applied,
  /// Nothing was written: at least one condition did not hold.
  Conflict,
  /// Nothing was written: the service rejected the transaction or could not be reached.
  Unavailable,
  /// No response was received: it may have been applied, or may be applied later.
  Unknown,
};

/// \brief Result of a transaction.
struct TransactionResult
{
  TransactionStatus mStatus = TransactionStatus::Unknown;
  /// For a conflict: one entry per write, true if its condition failed.
  std::vector<bool> mConflicts;
};

/// \brief Current state of a record in the table.
struct TableRecord
{
  RecordVersion mVersion;
  std::string mValue;
};

/// \brief Result of a consistent read.
struct ReadResult
{
  /// False when the service did not respond.
  bool mAnswered = false;
  /// Empty when the record does not exist.
  std::optional<TableRecord> mRecord;
};

/// \brief Result of an object read.
struct ObjectResult
{
  /// False when the service did not respond.
  bool mAnswered = false;
  /// Empty when the object does not exist.
  std::optional<std::string> mBytes;
};

/// \brief One entry of the platform's list of instances, which may be out of date.
struct ListedInstance
{
  InstanceId mInstance;
  /// Address for control messages.
  Endpoint mPeer;
  bool mLeaving = false;
};

/// \brief Result of a request for the instance list.
struct InstanceListResult
{
  /// False when the service did not respond.
  bool mAnswered = false;
  std::vector<ListedInstance> mInstances;
};

/// \brief Requirements for a client of the platform. Every callback runs exactly once, never from
/// within the call that it was passed to.
template<class P>
concept Platform = requires(P aPlatform,
                            Transaction aTransaction,
                            std::string aText,
                            std::function<void(TransactionResult)> aOnTransaction,
                            std::function<void(ReadResult)> aOnRead,
                            std::function<void(bool)> aOnPut,
                            std::function<void(ObjectResult)> aOnObject,
                            std::function<void(InstanceListResult)> aOnList)
{
  aPlatform.transact(aTransaction, aOnTransaction);
  aPlatform.read(aText, aOnRead);
  aPlatform.putObject(aText, aText, aOnPut);
  aPlatform.readObject(aText, aOnObject);
  aPlatform.listInstances(aOnList);
};

} // namespace bulrushrun
