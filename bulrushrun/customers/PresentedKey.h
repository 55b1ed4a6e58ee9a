#pragma once

#include <string_view>

namespace bulrushrun {

/// \brief What a request presents in place of a key.
enum class KeyForm
{
  /// No key at all.
  Missing,
  /// Something that is no key.
  Malformed,
  /// More than one key, be they equal or not.
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
