#pragma once

#include "bulrushrun/net/tests/RawByteServer.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace bulrushrun {

/// What a caller on a raw socket received, and its own reading of the framing.
class RawCaller
{
public:
  /// Sends a request, and reads until the response is whole or the connection has ended.
  explicit RawCaller(const std::string& aRequest)
    : mHeadRequest(aRequest.starts_with("HEAD "))
  {
    constexpr int kTimeoutSeconds = 10;
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = socketAddress(kServer);
    const timeval timeout{ kTimeoutSeconds, 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    (void)::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    (void)::send(connection, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
    char part[65536];
    ssize_t received = 0;
    while (!isFramedWhole() && (received = ::recv(connection, part, sizeof(part), 0)) > 0) {
      mBytes.append(part, static_cast<std::size_t>(received));
    }
    mClosed = received == 0 && !isFramedWhole();
    ::close(connection);
  }

  int status() const { return mBytes.size() < 12 ? 0 : std::atoi(mBytes.c_str() + 9); }
  bool isSuccess() const { return status() >= 200 && status() < 300; }
  /// \returns true when the framing, or an orderly close where there is none, shows the end.
  bool isWhole() const { return isFramedWhole() || (mClosed && hasHead() && !isFramed()); }
  bool has(const std::string& aText) const { return head().find(aText) != std::string::npos; }
  /// \returns the body, without the framing of chunks.
  std::string body() const
  {
    const std::string raw = hasHead() ? mBytes.substr(headSize()) : "";
    if (!isChunked()) {
      return raw;
    }
    std::string body;
    std::size_t at = 0;
    while (at < raw.size()) {
      char* end = nullptr;
      const std::size_t size = std::strtoull(raw.c_str() + at, &end, 16);
      at = static_cast<std::size_t>(end - raw.c_str()) + 2;
      if (size == 0 || at >= raw.size()) {
        break;
      }
      body += raw.substr(at, size);
      at += size + 2;
    }
    return body;
  }
  const std::string& bytes() const { return mBytes; }

private:
  std::size_t headSize() const { return mBytes.find("\r\n\r\n") + 4; }
  bool hasHead() const { return mBytes.find("\r\n\r\n") != std::string::npos; }
  /// \returns the head in small letters.
  std::string head() const
  {
    std::string head = hasHead() ? mBytes.substr(0, headSize()) : "";
    std::transform(head.begin(), head.end(), head.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
    return head;
  }
  bool isChunked() const { return has("transfer-encoding: chunked"); }
  bool isFramed() const { return isChunked() || lengthAt() != std::string::npos || isBodiless(); }
  bool isBodiless() const { return mHeadRequest || status() == 204 || status() == 304; }
  std::size_t lengthAt() const { return head().find("content-length: "); }
  bool isFramedWhole() const
  {
    if (!hasHead() || !isFramed()) {
      return false;
    }
    if (isBodiless()) {
      return true;
    }
    if (isChunked()) {
      return mBytes.ends_with("\r\n0\r\n\r\n");
    }
    return mBytes.size() - headSize() >=
           std::strtoull(mBytes.c_str() + lengthAt() + 16, nullptr, 10);
  }

  bool mHeadRequest;
  std::string mBytes;
  /// The connection was closed in an orderly way before a length or the last chunk showed the end.
  bool mClosed = false;
};

} // namespace bulrushrun
