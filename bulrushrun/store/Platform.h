#pragma once

#include "bulrushrun/core.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief The platform's services as typed messages: table, object store, instance list.

namespace bulrushrun {

/// \brief Most writes that one transaction may hold.
inline constexpr std::size_t kMaxTransactionWrites = 100;

/// \brief Conditional write of one record.
///
/// Applies only if the record stands at mExpectedVersion; version 0 means that it must not exist.
/// The record then stands at mExpectedVersion + 1.
struct TableWrite
{
  std::string mKey;
  RecordVersion mExpectedVersion;
  std::string mValue;
  /// The table may delete the record after this instant; 0 stands for never.
  UnixSeconds mExpires{ 0 };
};

/// \brief Writes that apply all together or not at all.
using Transaction = std::vector<TableWrite>;

/// \brief What is known of a transaction's effect.
enum class TransactionStatus
{
  Applied,
  /// Nothing was written; at least one condition did not hold.
  Conflict,
  /// Nothing was written; the service refused or could not be reached.
  Unavailable,
  /// No answer came: it may have been applied, or be applied later.
  Unknown,
};

/// \brief Answer to a transaction.
struct TransactionResult
{
  TransactionStatus mStatus = TransactionStatus::Unknown;
  /// For a conflict: one entry per write, true where its condition failed.
  std::vector<bool> mConflicts;
};

/// \brief Record as it stands in the table.
struct TableRecord
{
  RecordVersion mVersion;
  std::string mValue;
};

/// \brief Answer to a consistent read.
struct ReadResult
{
  /// False when the service gave no answer.
  bool mAnswered = false;
  /// Empty when there is no such record.
  std::optional<TableRecord> mRecord;
};

/// \brief Answer to an object read.
struct ObjectResult
{
  /// False when the service gave no answer.
  bool mAnswered = false;
  /// Empty when there is no such object.
  std::optional<std::string> mBytes;
};

/// \brief One row of the platform's lagging list of instances.
struct ListedInstance
{
  InstanceId mInstance;
  /// Control address.
  Endpoint mPeer;
  bool mLeaving = false;
};

/// \brief Answer to a request for the instance list.
struct InstanceListResult
{
  /// False when the service gave no answer.
  bool mAnswered = false;
  std::vector<ListedInstance> mInstances;
};

/// \brief Client of the platform. Every callback runs exactly once, never from within the call.
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
