#pragma once

#include "bulrushrun/configuration/Document.h"
#include "bulrushrun/forwarding/Refusal.h"

#include <optional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief What a request's headers ask for, checked against the configuration.
struct RequestParameters
{
  ServiceKey mService;
  RequestClass mClass;
  Duration mDeadline{ 0 };
  IdempotencyKey mKey;
  /// Zone that the caller says it is in, or empty.
  ZoneName mCallerZone;
  /// Instance that relayed the request, or empty.
  InstanceId mRelay;
};

/// \brief Reads the control headers of a request.
///
/// \code
/// RequestParametersReader reader{document};
/// std::optional<Call> call = reader.read(headers);
/// if (!call) respond(refusalResponse(reader.lastRefusal()));
/// \endcode
class RequestParametersReader
{
public:
  explicit RequestParametersReader(const Document& aDocument)
    : mDocument(aDocument)
  {
  }

  /// \brief \returns the call, or nothing; lastRefusal() then says why.
  std::optional<RequestParameters> read(const Headers& aHeaders);

  /// \brief \returns why the last read() gave nothing.
  const Refusal& lastRefusal() const { return mRefusal; }

private:
  std::nullopt_t refuse(RefusalReason aReason, std::string aText);
  std::optional<Duration> readDeadline(const Headers& aHeaders, const RequestClass& aClass);

  const Document& mDocument;
  Refusal mRefusal;
};

/// \brief \returns a hash that tells a repeat of a request from a different one.
std::string requestFingerprint(const HttpRequest& aRequest);

} // namespace bulrushrun
