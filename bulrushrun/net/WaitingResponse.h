#pragma once

#include "bulrushrun/host/Http.h"

#include <cstddef>
#include <optional>

namespace bulrushrun {

class PipelinedConnection;

/// \brief Response to a request that was started ahead, until the responses before it have been
/// sent. The bytes that it holds count for its connection.
class WaitingResponse
{
public:
  explicit WaitingResponse(PipelinedConnection& aConnection)
    : mConnection(aConnection)
  {
  }
  WaitingResponse(const WaitingResponse&) = delete;
  WaitingResponse& operator=(const WaitingResponse&) = delete;
  WaitingResponse(WaitingResponse&&) = delete;
  WaitingResponse& operator=(WaitingResponse&&) = delete;
  ~WaitingResponse();

  void setHead(const ResponseHead& aHead);
  const std::optional<ResponseHead>& head() const { return mHead; }
  /// \brief Sets the number of bytes of the body that are held.
  /// \returns false when the connection or the process holds too much, so that no more should be
  /// read
  bool setBodyBytes(std::size_t aBytes);
  /// \brief \returns true when the caller has closed the connection; checks the socket.
  bool isDisconnected() const;

private:
  PipelinedConnection& mConnection;
  std::optional<ResponseHead> mHead;
  std::size_t mHeadBytes = 0;
  std::size_t mHeldBytes = 0;
};

} // namespace bulrushrun
