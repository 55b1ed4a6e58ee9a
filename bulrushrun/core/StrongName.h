#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Strong typedef of a string; names of different kinds are distinct types.
///
/// \code
/// ZoneName zone{"almaty-a"};
/// \endcode
template<class Tag>
class StrongName
{
public:
  StrongName() = default;
  explicit StrongName(std::string aText)
    : mText(std::move(aText))
  {
  }

  const std::string& text() const { return mText; }
  bool empty() const { return mText.empty(); }

  auto operator<=>(const StrongName&) const = default;

private:
  std::string mText;
};

using RegionName = StrongName<struct RegionTag>;
using ZoneName = StrongName<struct ZoneTag>;
using TenantName = StrongName<struct TenantTag>;
using CustomerName = StrongName<struct CustomerTag>;
using ServiceName = StrongName<struct ServiceTag>;
using ClassName = StrongName<struct ClassTag>;
using InstanceId = StrongName<struct InstanceTag>;
using TargetId = StrongName<struct TargetTag>;
using IdempotencyKey = StrongName<struct IdempotencyKeyTag>;
using ClaimToken = StrongName<struct ClaimTokenTag>;

} // namespace bulrushrun

template<class Tag>
struct std::hash<bulrushrun::StrongName<Tag>>
{
  std::size_t operator()(const bulrushrun::StrongName<Tag>& aName) const
  {
    return std::hash<std::string>{}(aName.text());
  }
};
