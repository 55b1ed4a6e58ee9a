#include "bulrushrun/net/H2oRequest.h"
#include "bulrushrun/net/PipelinedConnection.h"
#include "bulrushrun/net/RequestPipeline.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

/// \file
/// \brief PipelinedConnection: looks at the bytes behind the request in progress.

namespace bulrushrun {

namespace {

/// Bounds what is discarded when a connection ends: more than the receive buffer of a connection.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1024 } * 1024;

} // namespace

/// The kernel resets a connection that is closed with unread bytes, and the reset may overtake the
/// last response.
void PipelinedConnection::discardUnread()
{
  std::array<char, 4096> part{};
  std::size_t discarded = 0;
  ssize_t size = 0;
  while (discarded < kMaxDiscardedBytes &&
         (size = ::recv(h2o_socket_get_fd(mSocket), part.data(), part.size(), MSG_DONTWAIT)) > 0) {
    discarded += static_cast<std::size_t>(size);
  }
}

bool PipelinedConnection::mayReadAhead() const
{
  return mCurrent != nullptr && mCurrent->http1_is_persistent != 0 && !mNextMustWait &&
         !mCurrentWaited;
}

void PipelinedConnection::onReadable(h2o_socket_t* aSocket, const char*)
{
  PipelinedConnection* connection = find(aSocket);
  if (connection->mayReadAhead()) {
    connection->readAhead();
  } else {
    connection->stopPolling();
  }
}

/// \returns the bytes behind the current request: those in h2o's input buffer, then those in the
/// kernel, up to the limit.
std::string PipelinedConnection::availableBytes()
{
  const std::size_t limit = mPipeline.account().limits().mReadAheadBytes;
  std::string bytes{ mSocket->input->bytes + mCurrentSize,
                     std::min(limit, mSocket->input->size - mCurrentSize) };
  int unread = 0;
  ::ioctl(h2o_socket_get_fd(mSocket), FIONREAD, &unread);
  mKernelBytes = static_cast<std::size_t>(std::max(unread, 0));
  const std::size_t buffered = bytes.size();
  const std::size_t wanted = std::min(limit - buffered, mKernelBytes);
  if (wanted > 0) {
    bytes.resize(buffered + wanted);
    const ssize_t peeked =
      ::recv(h2o_socket_get_fd(mSocket), bytes.data() + buffered, wanted, MSG_PEEK | MSG_DONTWAIT);
    bytes.resize(buffered + static_cast<std::size_t>(std::max<ssize_t>(peeked, 0)));
  }
  return bytes;
}

void PipelinedConnection::readAhead()
{
  const std::string bytes = availableBytes();
  std::string_view rest = bytes;
  rest.remove_prefix(std::min(mStartedBytes, rest.size()));
  while (!rest.empty()) {
    if (mStarted.size() >= mPipeline.account().limits().mRequests || holdsTooMuch()) {
      stopAtLimit();
      return;
    }
    const std::size_t before = rest.size();
    if (!startNext(rest)) {
      return;
    }
    if (rest.size() == before) {
      break;
    }
  }
  if (bytes.size() >= mPipeline.account().limits().mReadAheadBytes) {
    stopAtLimit();
  } else {
    waitForBytes(mKernelBytes);
  }
}

/// Starts the first request of \a aRest, if it is complete, and removes it from there.
/// \returns false when reading ahead has ended
bool PipelinedConnection::startNext(std::string_view& aRest)
{
  PipelinedRequest next;
  const PipelinedForm form = parsePipelinedRequest(aRest, next);
  if (form == PipelinedForm::Incomplete) {
    return true;
  }
  PipelineAccount& account = mPipeline.account();
  ++account.counters().mReadAhead;
  if (form == PipelinedForm::MustWait || !mPipeline.mayRunAhead(next.mRequest)) {
    mNextMustWait = true;
    stopPolling();
    return false;
  }
  // Nothing may follow a request whose response ends the connection.
  mNextMustWait = next.mClosesConnection;
  const std::shared_ptr<HttpResponder> responder = HttpResponder::createWaiting(*this);
  mStarted.push_back({ std::string{ aRest.substr(0, next.mSize) }, responder });
  mStartedBytes += next.mSize;
  account.change(0, next.mSize);
  ++account.counters().mStartedAhead;
  aRest.remove_prefix(next.mSize);
  const std::weak_ptr<int> lifetime = mLifetime;
  const std::uint64_t number = mCurrentNumber;
  mPipeline.start(std::move(next.mRequest), responder);
  // The handler may have ended the current request, and with it this object.
  if (lifetime.expired() || number != mCurrentNumber) {
    return false;
  }
  if (!mayReadAhead()) {
    stopPolling();
    return false;
  }
  return true;
}

void PipelinedConnection::stopAtLimit()
{
  setAtLimit(true);
  stopPolling();
}

void PipelinedConnection::setAtLimit(bool aAtLimit)
{
  if (aAtLimit != std::exchange(mAtLimit, aAtLimit)) {
    std::size_t& count = mPipeline.account().counters().mConnectionsAtLimit;
    count = aAtLimit ? count + 1 : count - 1;
  }
}

/// Polls until more bytes arrive than the kernel has now. A connection that is readable without
/// more bytes was closed by the caller, which RequestProxy::sweep notices.
void PipelinedConnection::waitForBytes(std::size_t aKernelBytes)
{
  const int lowWatermark = static_cast<int>(aKernelBytes) + 1;
  if (mPolling && lowWatermark == mLowWatermark) {
    stopPolling();
    return;
  }
  setLowWatermark(lowWatermark);
  if (!mPolling) {
    mPolling = true;
    h2o_socket_dont_read(mSocket, 1);
    h2o_socket_read_start(mSocket, onReadable);
  }
}

void PipelinedConnection::stopPolling()
{
  if (std::exchange(mPolling, false)) {
    h2o_socket_read_stop(mSocket);
    h2o_socket_dont_read(mSocket, 0);
  }
}

void PipelinedConnection::setLowWatermark(int aBytes)
{
  if (aBytes != std::exchange(mLowWatermark, aBytes)) {
    ::setsockopt(h2o_socket_get_fd(mSocket), SOL_SOCKET, SO_RCVLOWAT, &aBytes, sizeof(aBytes));
  }
}

} // namespace bulrushrun
