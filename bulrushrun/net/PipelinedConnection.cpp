#include "bulrushrun/net/PipelinedConnection.h"

#include "bulrushrun/net/H2oRequest.h"
#include "bulrushrun/net/RequestPipeline.h"
#include "bulrushrun/net/Sockets.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

namespace {

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
  void* reference = h2o_mem_alloc_shared(&aRequest->pool, sizeof(void*), onCurrentDisposed);
  *static_cast<void**>(reference) = this;
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
void PipelinedConnection::onCurrentDisposed(void* aReference)
{
  static_cast<PipelinedConnection*>(*static_cast<void**>(aReference))->unwatch();
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
