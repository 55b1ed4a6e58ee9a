#include "standins/PlatformStandIn.h"

#include "bulrushrun/administration/AdminResponses.h"

#include <cstdlib>

namespace bulrushrun::standins {

PlatformStandIn::PlatformStandIn(EventLoop& aLoop, const Endpoint& aEndpoint)
  : mLoop(aLoop)
  , mServer(aLoop,
            aEndpoint,
            { nullptr, [this](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
               handle(aRequest, aResponder);
             } })
{
}

void PlatformStandIn::handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
{
  if (aRequest.mPath == "/control") {
    respond(*aResponder, control(aRequest.mBody.text()));
    return;
  }
  if (mOutage) {
    respond(*aResponder, encodeTransactionResult({ TransactionStatus::Unavailable, {} }));
    return;
  }
  const HttpResponse response = makeResponse(aRequest);
  if (mSilent || mRandom.chance(mLostResponseProbability)) {
    mUnanswered.push_back(aResponder);
    return;
  }
  mLoop.after(mDelay, [response, aResponder] { respond(*aResponder, response); });
}

HttpResponse PlatformStandIn::makeResponse(const HttpRequest& aRequest)
{
  if (aRequest.mPath == "/instances") {
    return jsonResponse(200, encodeInstanceList(mInstances));
  }
  if (aRequest.mPath.starts_with("/objects/")) {
    return object(aRequest);
  }
  const std::string* operation = findHeader(aRequest.mHeaders, kTargetHeader);
  if (operation != nullptr && *operation == kTransactOperation) {
    return transact(aRequest.mBody.text());
  }
  if (operation != nullptr && *operation == kReadOperation) {
    return read(aRequest.mBody.text());
  }
  return errorResponse(404, "not found", aRequest.mPath);
}

HttpResponse PlatformStandIn::transact(const std::string& aBody)
{
  const std::optional<Transaction> transaction = decodeTransaction(aBody);
  if (!transaction || transaction->size() > kMaxTransactionWrites) {
    return errorResponse(400, "ValidationException", "malformed transaction");
  }
  ++mTransactions;
  TransactionResult result{ TransactionStatus::Applied, {} };
  for (const TableWrite& write : *transaction) {
    const auto record = mTable.find(write.mKey);
    const RecordVersion currentVersion =
      record == mTable.end() ? RecordVersion{} : record->second.mVersion;
    result.mConflicts.push_back(currentVersion != write.mExpectedVersion);
    if (result.mConflicts.back()) {
      result.mStatus = TransactionStatus::Conflict;
    }
  }
  if (result.mStatus == TransactionStatus::Applied) {
    for (const TableWrite& write : *transaction) {
      mTable[write.mKey] = { write.mExpectedVersion.next(), write.mValue };
    }
  }
  return encodeTransactionResult(result);
}

HttpResponse PlatformStandIn::read(const std::string& aBody)
{
  ++mReads;
  const std::optional<std::string> key = decodeRead(aBody);
  if (!key) {
    return errorResponse(400, "ValidationException", "malformed read");
  }
  const auto record = mTable.find(*key);
  return encodeReadResult(*key,
                          record == mTable.end() ? std::nullopt : std::optional{ record->second });
}

HttpResponse PlatformStandIn::object(const HttpRequest& aRequest)
{
  if (aRequest.mMethod == "PUT") {
    mObjects[aRequest.mPath] = aRequest.mBody.text();
    return textResponse(200, "stored");
  }
  const auto found = mObjects.find(aRequest.mPath);
  if (found == mObjects.end()) {
    return textResponse(404, "object not found");
  }
  return { { 200, {}, std::nullopt }, found->second };
}

HttpResponse PlatformStandIn::control(const std::string& aBody)
{
  const std::string query = "?" + aBody;
  const std::string leaving = queryText(query, "leaving");
  if (const std::optional<Endpoint> endpoint = parseEndpoint(leaving)) {
    mInstances.push_back({ InstanceId{ leaving }, *endpoint, true });
  }
  if (const std::optional<std::uint64_t> outage = queryNumber(query, "outage")) {
    mOutage = *outage != 0;
  }
  if (const std::optional<std::uint64_t> silent = queryNumber(query, "silent")) {
    mSilent = *silent != 0;
  }
  if (const std::optional<std::uint64_t> delay = queryNumber(query, "delay_ms")) {
    mDelay = std::chrono::milliseconds(*delay);
  }
  const std::string lose = queryText(query, "lose");
  mLostResponseProbability =
    lose.empty() ? mLostResponseProbability : std::strtod(lose.c_str(), nullptr);
  return textResponse(
    200, "transactions=" + std::to_string(mTransactions) + "&reads=" + std::to_string(mReads));
}

} // namespace bulrushrun::standins
