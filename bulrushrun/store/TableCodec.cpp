#include "bulrushrun/store/TableCodec.h"

#include "bulrushrun/store/Base64.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

constexpr const char* kConflictType =
  "com.amazonaws.dynamodb.v20120810#TransactionCanceledException";
constexpr const char* kConflictCode = "ConditionalCheckFailed";
constexpr const char* kAbsentCondition = "attribute_not_exists(pk)";
constexpr const char* kVersionCondition = "ver = :v";

Json numberAttribute(std::uint64_t aValue)
{
  return { { "N", std::to_string(aValue) } };
}

std::optional<std::uint64_t> parseNumber(const Json& aAttribute)
{
  const std::string text = aAttribute.at("N").get<std::string>();
  std::uint64_t value = 0;
  const std::from_chars_result parsed =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

Json encodeItem(const std::string& aKey, RecordVersion aVersion, const std::string& aValue)
{
  return { { "pk", { { "S", aKey } } },
           { "ver", numberAttribute(aVersion.value()) },
           { "val", { { "B", toBase64(aValue) } } } };
}

std::optional<TableRecord> decodeItem(const Json& aItem)
{
  const std::optional<std::uint64_t> version = parseNumber(aItem.at("ver"));
  const std::optional<std::string> value = fromBase64(aItem.at("val").at("B").get<std::string>());
  if (!version || !value) {
    return std::nullopt;
  }
  return TableRecord{ RecordVersion{ *version }, *value };
}

Json encodeWrite(const TableWrite& aWrite)
{
  Json put{ { "TableName", kTableName },
            { "Item", encodeItem(aWrite.mKey, aWrite.mExpectedVersion.next(), aWrite.mValue) } };
  if (aWrite.mExpires.count() > 0) {
    put["Item"]["ttl"] = numberAttribute(static_cast<std::uint64_t>(aWrite.mExpires.count()));
  }
  if (aWrite.mExpectedVersion.value() == 0) {
    put["ConditionExpression"] = kAbsentCondition;
  } else {
    put["ConditionExpression"] = kVersionCondition;
    put["ExpressionAttributeValues"] = { { ":v",
                                           numberAttribute(aWrite.mExpectedVersion.value()) } };
  }
  return { { "Put", put } };
}

std::optional<RecordVersion> decodeCondition(const Json& aPut)
{
  const std::string condition = aPut.at("ConditionExpression").get<std::string>();
  if (condition == kAbsentCondition) {
    return RecordVersion{ 0 };
  }
  if (condition != kVersionCondition) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> version =
    parseNumber(aPut.at("ExpressionAttributeValues").at(":v"));
  return version ? std::optional{ RecordVersion{ *version } } : std::nullopt;
}

std::optional<TableWrite> decodeWrite(const Json& aItem)
{
  const Json& put = aItem.at("Put");
  const std::optional<RecordVersion> expected = decodeCondition(put);
  const std::optional<TableRecord> record = decodeItem(put.at("Item"));
  if (!expected || !record || record->mVersion != expected->next()) {
    return std::nullopt;
  }
  TableWrite write;
  write.mKey = put.at("Item").at("pk").at("S").get<std::string>();
  write.mExpectedVersion = *expected;
  write.mValue = record->mValue;
  if (put.at("Item").contains("ttl")) {
    const std::optional<std::uint64_t> expires = parseNumber(put.at("Item").at("ttl"));
    write.mExpires = UnixSeconds{ static_cast<std::int64_t>(expires.value_or(0)) };
  }
  return write;
}

HttpRequest makeRequest(const char* aOperation, const Json& aBody)
{
  return { "POST",
           "/",
           { { kTargetHeader, aOperation }, { "Content-Type", "application/x-amz-json-1.0" } },
           aBody.dump() };
}

HttpResponse makeResponse(int aStatus, const Json& aBody)
{
  return { { aStatus, { { "Content-Type", "application/x-amz-json-1.0" } }, std::nullopt },
           aBody.dump() };
}

} // namespace

HttpRequest encodeTransaction(const Transaction& aTransaction)
{
  Json items = Json::array();
  for (const TableWrite& write : aTransaction) {
    items.push_back(encodeWrite(write));
  }
  return makeRequest(kTransactOperation, { { "TransactItems", items } });
}

std::optional<Transaction> decodeTransaction(const std::string& aBody)
{
  try {
    Transaction transaction;
    const Json body = Json::parse(aBody);
    for (const Json& item : body.at("TransactItems")) {
      const std::optional<TableWrite> write = decodeWrite(item);
      if (!write) {
        return std::nullopt;
      }
      transaction.push_back(*write);
    }
    return transaction;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

HttpResponse encodeTransactionResult(const TransactionResult& aResult)
{
  if (aResult.mStatus == TransactionStatus::Applied) {
    return makeResponse(200, Json::object());
  }
  if (aResult.mStatus != TransactionStatus::Conflict) {
    return makeResponse(503, { { "__type", "ServiceUnavailable" } });
  }
  Json reasons = Json::array();
  for (const bool conflict : aResult.mConflicts) {
    reasons.push_back({ { "Code", conflict ? kConflictCode : "None" } });
  }
  return makeResponse(400, { { "__type", kConflictType }, { "CancellationReasons", reasons } });
}

TransactionResult decodeTransactionResult(const HttpResponse& aResponse)
{
  TransactionResult result;
  if (aResponse.mHead.mStatus == 200) {
    result.mStatus = TransactionStatus::Applied;
    return result;
  }
  if (aResponse.mHead.mStatus == 503) {
    result.mStatus = TransactionStatus::Unavailable;
    return result;
  }
  try {
    const Json body = Json::parse(aResponse.mBody);
    if (body.at("__type").get<std::string>() != kConflictType) {
      return result;
    }
    for (const Json& reason : body.at("CancellationReasons")) {
      result.mConflicts.push_back(reason.at("Code").get<std::string>() == kConflictCode);
    }
    result.mStatus = TransactionStatus::Conflict;
  } catch (const Json::exception&) {
    return {};
  }
  return result;
}

HttpRequest encodeRead(const std::string& aKey)
{
  return makeRequest(kReadOperation,
                     { { "TableName", kTableName },
                       { "Key", { { "pk", { { "S", aKey } } } } },
                       { "ConsistentRead", true } });
}

std::optional<std::string> decodeRead(const std::string& aBody)
{
  try {
    return Json::parse(aBody).at("Key").at("pk").at("S").get<std::string>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

HttpResponse encodeReadResult(const std::string& aKey, const std::optional<TableRecord>& aRecord)
{
  if (!aRecord) {
    return makeResponse(200, Json::object());
  }
  return makeResponse(200, { { "Item", encodeItem(aKey, aRecord->mVersion, aRecord->mValue) } });
}

ReadResult decodeReadResult(const HttpResponse& aResponse)
{
  if (aResponse.mHead.mStatus != 200) {
    return {};
  }
  try {
    const Json body = Json::parse(aResponse.mBody);
    if (!body.contains("Item")) {
      return { true, std::nullopt };
    }
    const std::optional<TableRecord> record = decodeItem(body.at("Item"));
    return { record.has_value(), record };
  } catch (const Json::exception&) {
    return {};
  }
}

} // namespace bulrushrun
