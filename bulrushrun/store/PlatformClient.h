#pragma once

#include "bulrushrun/store/BufferedExchange.h"
#include "bulrushrun/store/InstanceListCodec.h"
#include "bulrushrun/store/Platform.h"
#include "bulrushrun/store/TableCodec.h"

#include <string>
#include <utility>

namespace bulrushrun {

/// \brief HTTP client of the platform: the table's JSON protocol, and objects by PUT and GET.
///
/// A transaction without a response before the timeout is reported as Unknown, never as rejected,
/// because it may have been applied.
template<class HostType>
class PlatformClient
{
public:
  PlatformClient(HostType& aHost, Endpoint aEndpoint)
    : mHost(aHost)
    , mEndpoint(aEndpoint)
  {
  }

  /// \sa Platform
  void transact(const Transaction& aTransaction, std::function<void(TransactionResult)> aDone)
  {
    send(encodeTransaction(aTransaction),
         [aDone = std::move(aDone)](ExchangeResult aResult, const HttpResponse& aResponse) {
           if (aResult == ExchangeResult::Complete) {
             aDone(decodeTransactionResult(aResponse));
             return;
           }
           const bool maybeSent = aResult != ExchangeResult::NotSent;
           aDone({ maybeSent ? TransactionStatus::Unknown : TransactionStatus::Unavailable, {} });
         });
  }

  /// \sa Platform
  void read(const std::string& aKey, std::function<void(ReadResult)> aDone)
  {
    send(encodeRead(aKey),
         [aDone = std::move(aDone)](ExchangeResult aResult, const HttpResponse& aResponse) {
           aDone(aResult == ExchangeResult::Complete ? decodeReadResult(aResponse) : ReadResult{});
         });
  }

  /// \sa Platform
  void putObject(const std::string& aName, std::string aBytes, std::function<void(bool)> aDone)
  {
    send({ "PUT", objectPath(aName), {}, std::move(aBytes) },
         [aDone = std::move(aDone)](ExchangeResult aResult, const HttpResponse& aResponse) {
           aDone(aResult == ExchangeResult::Complete && aResponse.mHead.mStatus == 200);
         });
  }

  /// \sa Platform
  void readObject(const std::string& aName, std::function<void(ObjectResult)> aDone)
  {
    send({ "GET", objectPath(aName), {}, {} },
         [aDone = std::move(aDone)](ExchangeResult aResult, HttpResponse aResponse) {
           if (aResult != ExchangeResult::Complete) {
             aDone({});
           } else if (aResponse.mHead.mStatus == 200) {
             aDone({ true, std::move(aResponse.mBody) });
           } else {
             aDone({ aResponse.mHead.mStatus == 404, std::nullopt });
           }
         });
  }

  /// \sa Platform
  void listInstances(std::function<void(InstanceListResult)> aDone)
  {
    send({ "GET", "/instances", {}, {} },
         [aDone = std::move(aDone)](ExchangeResult aResult, const HttpResponse& aResponse) {
           if (aResult != ExchangeResult::Complete || aResponse.mHead.mStatus != 200) {
             aDone({});
             return;
           }
           const std::optional<std::vector<ListedInstance>> list =
             decodeInstanceList(aResponse.mBody);
           aDone({ list.has_value(), list.value_or(std::vector<ListedInstance>{}) });
         });
  }

private:
  static constexpr Duration kResponseTimeout = std::chrono::seconds(2);
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 16 } * 1024 * 1024;

  static std::string objectPath(const std::string& aName) { return "/objects/" + aName; }

  void send(HttpRequest aRequest, std::function<void(ExchangeResult, HttpResponse)> aDone)
  {
    startBufferedExchange(
      mHost, mEndpoint, std::move(aRequest), kResponseTimeout, kMaxResponseBytes, std::move(aDone));
  }

  HostType& mHost;
  Endpoint mEndpoint;
};

} // namespace bulrushrun
