#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief \returns \a aValue with its bits mixed so that each input bit affects all output bits
/// (finalizer of SplitMix64).
constexpr std::uint64_t mixBits(std::uint64_t aValue)
{
  std::uint64_t bits = aValue;
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31U);
}

/// \brief \returns a 64-bit hash of \a aText (FNV-1a, then mixed). Not cryptographic.
constexpr std::uint64_t hashText(std::string_view aText)
{
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : aText) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  return mixBits(hash);
}

/// \brief \returns a hash that combines two hashes; the order matters.
constexpr std::uint64_t combineHashes(std::uint64_t aFirst, std::uint64_t aSecond)
{
  return mixBits(aFirst * 0x9e3779b97f4a7c15ULL + aSecond);
}

/// \brief Maps a hash uniformly to [0, 1).
constexpr double toUnitInterval(std::uint64_t aHash)
{
  return static_cast<double>(aHash >> 11U) * 0x1.0p-53;
}

/// \brief \returns \a aValue as 16 hexadecimal digits.
std::string toHex(std::uint64_t aValue);

/// \brief SHA-256, as raw bytes.
using Sha256Digest = std::array<unsigned char, 32>;

/// \brief \returns the SHA-256 of \a aBytes.
Sha256Digest sha256(std::string_view aBytes);

/// \brief \returns the SHA-256 of \a aBytes as 64 hexadecimal digits.
std::string sha256Hex(std::string_view aBytes);

/// \brief \returns the HMAC-SHA-256 of \a aBytes under \a aKey, as 32 raw bytes.
std::string hmacSha256(std::string_view aKey, std::string_view aBytes);

/// \brief Compares two secrets in a time that does not depend on where they differ.
bool constantTimeEquals(std::string_view aLeft, std::string_view aRight);

} // namespace bulrushrun
