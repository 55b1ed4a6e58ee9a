#pragma once

#include <string_view>

namespace bulrushrun {

/// \brief What a request presents in place of a key.
enum class KeyForm
{
  /// No key at all.
  Missing,
  /// Credentials that are not of the expected form.
  Malformed,
  /// More than one credentials field, even if the values are equal.
  Repeated,
  /// One key, known or not.
  WellFormed,
};

/// \brief Key of a request as its headers present it; refers to their text.
struct PresentedKey
{
  KeyForm mForm = KeyForm::Missing;
  /// Empty unless the key is well-formed.
  std::string_view mText;
};

} // namespace bulrushrun
