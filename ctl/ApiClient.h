#pragma once

#include "bulrushrun/net.h"

#include <optional>
#include <string>

namespace bulrushrun {

/// \brief Blocking client of an instance's administration API.
class ApiClient
{
public:
  ApiClient(Endpoint aAdmin, std::string aToken)
    : mAdmin(aAdmin)
    , mToken(std::move(aToken))
  {
  }

  /// \brief Sends a request and waits for the response. \returns std::nullopt when no complete
  /// response was received; lastReason() then tells why.
  std::optional<HttpResponse> call(HttpRequest aRequest);

  /// \brief \returns the reason why the last call() failed.
  const std::string& lastReason() const { return mReason; }

private:
  Endpoint mAdmin;
  std::string mToken;
  std::string mReason;
};

} // namespace bulrushrun
