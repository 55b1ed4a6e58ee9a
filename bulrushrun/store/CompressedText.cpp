#include "bulrushrun/store/CompressedText.h"

#define ZLIB_CONST
#include <zlib.h>

#include <algorithm>
#include <memory>

namespace bulrushrun {

namespace {

constexpr std::size_t kPartBytes = std::size_t{ 64 } * 1024;

const Bytef* toBytes(std::string_view aText)
{
  return reinterpret_cast<const Bytef*>(aText.data());
}

} // namespace

std::string compressText(std::string_view aText)
{
  uLongf size = ::compressBound(static_cast<uLong>(aText.size()));
  std::string bytes(size, '\0');
  // The fastest level: the texts are repetitive, so that higher ones save few bytes.
  ::compress2(reinterpret_cast<Bytef*>(bytes.data()),
              &size,
              toBytes(aText),
              static_cast<uLong>(aText.size()),
              Z_BEST_SPEED);
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> decompressText(std::string_view aBytes, std::size_t aMaxBytes)
{
  z_stream stream{};
  if (::inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  const std::unique_ptr<z_stream, int (*)(z_stream*)> cleanUp{ &stream, ::inflateEnd };
  stream.next_in = toBytes(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && text.size() < aMaxBytes) {
    const std::size_t size = text.size();
    text.resize(size + std::min(kPartBytes, aMaxBytes - size));
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + size);
    stream.avail_out = static_cast<uInt>(text.size() - size);
    result = ::inflate(&stream, Z_NO_FLUSH);
    text.resize(text.size() - stream.avail_out);
  }
  const bool isWhole = result == Z_STREAM_END && stream.avail_in == 0;
  return isWhole ? std::optional{ std::move(text) } : std::nullopt;
}

} // namespace bulrushrun
