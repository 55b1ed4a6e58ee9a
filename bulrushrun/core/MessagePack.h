#pragma once

#include <msgpack.hpp>

#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief \returns a value encoded as MessagePack.
template<class Value>
std::string packMessage(const Value& aValue)
{
  std::ostringstream bytes;
  msgpack::pack(bytes, aValue);
  return bytes.str();
}

/// \brief Decodes a MessagePack value. \returns std::nullopt when the bytes are malformed.
///
/// A container may not declare more items than there are bytes, so that a short message cannot
/// cause a large memory allocation.
template<class Value>
std::optional<Value> unpackMessage(std::string_view aBytes)
{
  constexpr std::size_t kMaxDepth = 16;
  const std::size_t length = aBytes.size();
  try {
    const msgpack::unpack_limit limit{ length, length, length, length, length, kMaxDepth };
    std::size_t end = 0;
    const msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(), length, end, nullptr, nullptr, limit);
    return end == length ? std::optional{ handle->as<Value>() } : std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

} // namespace bulrushrun
