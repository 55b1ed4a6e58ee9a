#pragma once

#include "bulrushrun/configuration/Document.h"
#include "bulrushrun/forwarding/Refusal.h"

#include <optional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Control headers of a request, validated against the configuration.
struct RequestParameters
{
  ServiceKey mService;
  RequestClass mClass;
  Duration mDeadline{ 0 };
  IdempotencyKey mKey;
  /// Zone of the caller as given in its headers, or empty.
  ZoneName mCallerZone;
  /// Instance that relayed the request, or empty.
  InstanceId mRelay;
};

/// \brief Reads the control headers of a request.
///
/// \code
/// RequestParametersReader reader{document};
/// std::optional<RequestParameters> parameters = reader.read(headers);
/// if (!parameters) respond(refusalResponse(reader.lastRefusal()));
/// \endcode
class RequestParametersReader
{
public:
  explicit RequestParametersReader(const Document& aDocument)
    : mDocument(aDocument)
  {
  }

  /// \brief \returns the parameters, or nothing when they are invalid; see lastRefusal().
  std::optional<RequestParameters> read(const Headers& aHeaders);

  /// \brief \returns why the last read() returned nothing.
  const Refusal& lastRefusal() const { return mRefusal; }

private:
  std::nullopt_t refuse(RefusalReason aReason, std::string aText);
  std::optional<Duration> readDeadline(const Headers& aHeaders, const RequestClass& aClass);

  const Document& mDocument;
  Refusal mRefusal;
};

/// \brief \returns a hash of method, path and body. It distinguishes a duplicate from a different
/// request that reuses the same idempotency key.
std::string requestFingerprint(const HttpRequest& aRequest);

} // namespace bulrushrun
