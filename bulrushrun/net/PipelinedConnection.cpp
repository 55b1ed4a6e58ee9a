#include "bulrushrun/net/PipelinedConnection.h"

#include "bulrushrun/net/H2oRequest.h"
#include "bulrushrun/net/RequestPipeline.h"
#include "bulrushrun/net/Sockets.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <new>
#include <utility>

namespace bulrushrun {

namespace {

/// Bounds what is discarded when a connection ends: more than the receive buffer of a connection.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1024 } * 1024;

/// \returns true when h2o has read the bytes as the request that was started from them.
bool isSameRequest(const std::string& aBytes, const h2o_req_t& aRequest)
{
  PipelinedRequest started;
  if (parsePipelinedRequest(aBytes, started) != PipelinedForm::MayRunAhead ||
      bufferedSize(aRequest) != aBytes.size()) {
    return false;
  }
  const HttpRequest read = toHttpRequest(aRequest);
  const Headers& headers = started.mRequest.mHeaders;
  return read.mMethod == started.mRequest.mMethod && read.mPath == started.mRequest.mPath &&
         read.mAuthority == started.mRequest.mAuthority &&
         std::equal(headers.begin(),
                    headers.end(),
                    read.mHeaders.begin(),
                    read.mHeaders.end(),
                    [](const Header& aLeft, const Header& aRight) {
                      return aLeft.mName == aRight.mName && aLeft.mValue == aRight.mValue;
                    });
}

} // namespace

PipelinedConnection::PipelinedConnection(RequestPipeline& aPipeline, h2o_socket_t* aSocket)
  : mPipeline(aPipeline)
  , mSocket(aSocket)
{
  mSocket->on_close = { onClosed, this };
}

PipelinedConnection::~PipelinedConnection()
{
  setAtLimit(false);
  abandonStarted();
  if (mSocket != nullptr) {
    mSocket->on_close = {};
  }
}

PipelinedConnection* PipelinedConnection::find(const h2o_socket_t* aSocket)
{
  return aSocket->on_close.cb == onClosed
           ? static_cast<PipelinedConnection*>(aSocket->on_close.data)
           : nullptr;
}

void PipelinedConnection::onClosed(void* aConnection)
{
  PipelinedConnection* connection = static_cast<PipelinedConnection*>(aConnection);
  h2o_socket_t* socket = std::exchange(connection->mSocket, nullptr);
  connection->mPipeline.remove(socket);
}

void PipelinedConnection::removeCallbacks()
{
  for (const StartedRequest& request : mStarted) {
    request.mResponder->mOnDisconnect = nullptr;
    request.mResponder->mOnDisposed = nullptr;
  }
}

void PipelinedConnection::abandonStarted()
{
  PipelineAccount& account = mPipeline.account();
  std::vector<StartedRequest> abandoned = std::exchange(mStarted, {});
  account.change(std::exchange(mStartedBytes, 0), 0);
  account.counters().mAbandoned += abandoned.size();
  if (!abandoned.empty()) {
    mPipeline.log(events::kPipelineAbandoned, "requests=" + std::to_string(abandoned.size()));
  }
  for (const StartedRequest& request : abandoned) {
    request.mResponder->abandon();
  }
}

PipelineDelivery PipelinedConnection::deliver(h2o_req_t* aRequest)
{
  if (mStarted.empty()) {
    mCurrentWaited = std::exchange(mNextMustWait, false);
    return PipelineDelivery::New;
  }
  if (!isSameRequest(mStarted.front().mBytes, *aRequest)) {
    ++mPipeline.account().counters().mMismatched;
    mPipeline.log(events::kPipelineMismatch, "requests=" + std::to_string(mStarted.size()));
    abandonStarted();
    mCurrentWaited = true;
    return PipelineDelivery::Mismatched;
  }
  const StartedRequest next = std::move(mStarted.front());
  mStarted.erase(mStarted.begin());
  mStartedBytes -= next.mBytes.size();
  mPipeline.account().change(next.mBytes.size(), 0);
  mCurrentWaited = false;
  if (!mStarted.empty()) {
    // A server that shuts down ends the connection after the last request that was started.
    aRequest->http1_is_persistent = 1;
  }
  next.mResponder->attach(aRequest);
  return PipelineDelivery::Attached;
}

void PipelinedConnection::watch(h2o_req_t* aRequest, std::size_t aSize)
{
  mCurrent = aRequest;
  mCurrentSize = aSize;
  ++mCurrentNumber;
  mKernelBytes = 0;
  setAtLimit(false);
  void* reference =
    h2o_mem_alloc_shared(&aRequest->pool, sizeof(PipelinedConnection*), onCurrentOver);
  new (reference) PipelinedConnection*(this);
  if (!mayReadAhead()) {
    return;
  }
  if (mStartedBytes > 0 || mSocket->input->size > mCurrentSize) {
    readAhead();
  } else {
    waitForBytes(0);
  }
}

/// Runs when h2o frees the request: before it reads on, or closes the connection.
void PipelinedConnection::onCurrentOver(void* aConnection)
{
  (*static_cast<PipelinedConnection**>(aConnection))->unwatch();
}

void PipelinedConnection::unwatch()
{
  const bool closes = mCurrent->http1_is_persistent == 0;
  mCurrent = nullptr;
  ++mCurrentNumber;
  stopPolling();
  setLowWatermark(1);
  if (closes) {
    discardUnread();
  }
}

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

bool PipelinedConnection::isClosedByCaller() const
{
  return mSocket == nullptr || isClosedByPeer(h2o_socket_get_fd(mSocket));
}

void PipelinedConnection::changeHeldBytes(std::size_t aOld, std::size_t aNew)
{
  mHeldBytes = mHeldBytes - aOld + aNew;
  mPipeline.account().change(aOld, aNew);
}

bool PipelinedConnection::holdsTooMuch() const
{
  const PipelineAccount& account = mPipeline.account();
  return mHeldBytes >= account.limits().mConnectionBytes || account.isFull();
}

} // namespace bulrushrun
