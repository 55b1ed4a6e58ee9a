#pragma once

#include <utility>

namespace bulrushrun {

/// \brief Runs a function when the scope ends.
///
/// \code
/// const ScopeGuard closeFile{[&] { ::close(fd); }};
/// \endcode
template<class Function>
class ScopeGuard
{
public:
  explicit ScopeGuard(Function aFunction)
    : mFunction(std::move(aFunction))
  {
  }
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ScopeGuard(ScopeGuard&&) = delete;
  ScopeGuard& operator=(ScopeGuard&&) = delete;
  ~ScopeGuard() { mFunction(); }

private:
  Function mFunction;
};

} // namespace bulrushrun
