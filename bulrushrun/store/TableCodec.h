#pragma once

#include "bulrushrun/host/Http.h"
#include "bulrushrun/store/Platform.h"

#include <optional>
#include <string>

/// \file
/// \brief Encoding and decoding of the table's protocol: the subset of DynamoDB JSON 1.0 that
/// bulrushrun uses (TransactWriteItems and GetItem).

namespace bulrushrun {

/// \brief Name of the table with all records.
inline constexpr const char* kTableName = "bulrushrun";
/// \brief Header that names the operation.
inline constexpr const char* kTargetHeader = "X-Amz-Target";
inline constexpr const char* kTransactOperation = "DynamoDB_20120810.TransactWriteItems";
inline constexpr const char* kReadOperation = "DynamoDB_20120810.GetItem";

/// \brief \returns the request for a transaction.
HttpRequest encodeTransaction(const Transaction& aTransaction);

/// \brief \returns the transaction in a request body, or nothing when it is malformed.
std::optional<Transaction> decodeTransaction(const std::string& aBody);

/// \brief \returns the response to a transaction.
HttpResponse encodeTransactionResult(const TransactionResult& aResult);

/// \brief \returns the result in a response; Unknown when it can't be parsed.
TransactionResult decodeTransactionResult(const HttpResponse& aResponse);

/// \brief \returns the request for a consistent read.
HttpRequest encodeRead(const std::string& aKey);

/// \brief \returns the key in a read request, or nothing when it is malformed.
std::optional<std::string> decodeRead(const std::string& aBody);

/// \brief \returns the response to a read of \a aKey.
HttpResponse encodeReadResult(const std::string& aKey, const std::optional<TableRecord>& aRecord);

/// \brief \returns the result in a response; mAnswered is false when it can't be parsed.
ReadResult decodeReadResult(const HttpResponse& aResponse);

} // namespace bulrushrun
