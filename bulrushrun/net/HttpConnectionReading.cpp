#include "bulrushrun/net/HttpConnection.h"
#include "bulrushrun/net/Sockets.h"

#include <utility>

/// \file
/// \brief HttpConnection: reading of responses from the socket.

namespace bulrushrun {

namespace {

constexpr Duration kReceiptCheckInterval = std::chrono::milliseconds(5);

} // namespace

/// The socket reported an end without an error: this ends a response without a length, and
/// interrupts any other.
void HttpConnection::onPeerClosed()
{
  http_parser_execute(&mParser, &mParserSettings, nullptr, 0);
  if (mResponseComplete) {
    h2o_socket_read_stop(mSocket);
    finishOnceRequestIsReceived();
  } else {
    fail(ExchangeResult::Interrupted, "connection closed before the response was complete");
  }
}

/// An end is orderly only if the connection stays intact until the peer has received the request: a
/// peer that is gone resets it instead. Nor does a reset always show as an error, because the
/// kernel reports it once, and a write that fails takes it from the next read.
void HttpConnection::finishOnceRequestIsReceived()
{
  const int descriptor = h2o_socket_get_fd(mSocket);
  if (isConnectionLost(descriptor)) {
    fail(ExchangeResult::Interrupted, "connection lost before the response was complete");
  } else if (mWriteInProgress || hasUnacknowledgedBytes(descriptor)) {
    mReceiptTimer = mLoop.after(kReceiptCheckInterval, [this] { finishOnceRequestIsReceived(); });
  } else {
    finishExchange();
  }
}

void HttpConnection::startHead()
{
  mHead = {};
  mPart = ResponsePart::Line;
  mLines = {};
  mChunkBytesLeft = 0;
}

/// \returns the input up to the end of the line or of the chunk, or all.
std::string_view HttpConnection::nextPart(std::string_view aInput) const
{
  switch (mPart) {
    case ResponsePart::Line:
      return ResponseLines::firstLine(aInput);
    case ResponsePart::ChunkData:
      return aInput.substr(0, mChunkBytesLeft);
    case ResponsePart::Body:
      break;
  }
  return aInput;
}

/// Passes input to http-parser in parts. Lines are verified before.
/// \returns the number of bytes consumed
std::size_t HttpConnection::executeParser(std::string_view aInput)
{
  std::size_t consumed = 0;
  while (consumed < aInput.size()) {
    const std::string_view part = nextPart(aInput.substr(consumed));
    const bool isChunkData = mPart == ResponsePart::ChunkData;
    if (mPart == ResponsePart::Line) {
      const char* malformed = mLines.verify(part);
      if (malformed != nullptr) {
        failParsing(malformed);
        break;
      }
    }
    const std::size_t size =
      http_parser_execute(&mParser, &mParserSettings, part.data(), part.size());
    consumed += size;
    if (isChunkData) {
      mChunkBytesLeft -= size;
      if (mChunkBytesLeft == 0) {
        mPart = ResponsePart::Line;
        mLines.expectEmptyLine();
      }
    }
    const http_errno error = HTTP_PARSER_ERRNO(&mParser);
    if (error == HPE_PAUSED && std::exchange(mSkippedToNextHead, false)) {
      http_parser_pause(&mParser, 0);
    } else if (error != HPE_OK) {
      break;
    }
  }
  return consumed;
}

void HttpConnection::parse()
{
  h2o_socket_t* socket = mSocket;
  const std::size_t size = socket->input->size;
  if (size == 0) {
    return;
  }
  mIdleBeforeExchange.reset();
  const std::size_t consumed = executeParser({ socket->input->bytes, size });
  if (!isOpen()) {
    // A listener closed the connection in the meantime.
    return;
  }
  h2o_buffer_consume(&socket->input, consumed);
  const http_errno error = HTTP_PARSER_ERRNO(&mParser);
  if (mResponseComplete) {
    finishExchange();
  } else if (mParsingFailure != nullptr || (error != HPE_OK && error != HPE_PAUSED)) {
    fail(ExchangeResult::Interrupted,
         mParsingFailure == nullptr ? "malformed HTTP response" : mParsingFailure);
  }
}

} // namespace bulrushrun
