#pragma once

#include "bulrushrun/host/Http.h"

#include <string>
#include <utility>

namespace bulrushrun {

/// \brief What a bearer of a token may do.
enum class Role
{
  None,
  /// May read.
  Viewer,
  /// May read and change.
  Operator,
};

/// \brief Tells the role behind a request's `Authorization: Bearer` header.
class AccessControl
{
public:
  AccessControl(std::string aViewerToken, std::string aOperatorToken)
    : mViewerToken(std::move(aViewerToken))
    , mOperatorToken(std::move(aOperatorToken))
  {
  }

  /// \brief \returns the role; Role::None without a valid token.
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
