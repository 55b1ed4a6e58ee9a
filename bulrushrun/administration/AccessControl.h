#pragma once

#include "bulrushrun/host/Http.h"

#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Permissions that a bearer token grants.
enum class Role
{
  None,
  /// Read only.
  Viewer,
  /// Read and write.
  Operator,
};

/// \brief Determines the role of a request from its `Authorization: Bearer` header.
class AccessControl
{
public:
  AccessControl(std::string aViewerToken, std::string aOperatorToken)
    : mViewerToken(std::move(aViewerToken))
    , mOperatorToken(std::move(aOperatorToken))
  {
  }

  /// \brief \returns the role of the token; Role::None without a valid token.
  Role roleOf(const Headers& aHeaders) const
  {
    constexpr std::string_view kScheme = "Bearer ";
    const std::string* header = findHeader(aHeaders, "authorization");
    if (header == nullptr || !header->starts_with(kScheme)) {
      return Role::None;
    }
    const std::string_view token = std::string_view{ *header }.substr(kScheme.size());
    if (constantTimeEquals(token, mOperatorToken)) {
      return Role::Operator;
    }
    return constantTimeEquals(token, mViewerToken) ? Role::Viewer : Role::None;
  }

private:
  std::string mViewerToken;
  std::string mOperatorToken;
};

} // namespace bulrushrun
