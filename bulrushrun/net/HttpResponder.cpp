#include "bulrushrun/net/HttpResponder.h"

#include "bulrushrun/core.h"
#include "bulrushrun/net/H2oRequest.h"
#include "bulrushrun/net/PipelinedConnection.h"
#include "bulrushrun/net/Sockets.h"

#include <sys/socket.h>

#include <algorithm>
#include <new>
#include <utility>

namespace bulrushrun {

namespace {

using ResponderReference = std::shared_ptr<HttpResponder>;

/// Version as h2o represents it.
constexpr int kHttp11 = 0x101;

} // namespace

std::shared_ptr<HttpResponder> HttpResponder::create(h2o_req_t* aRequest)
{
  std::shared_ptr<HttpResponder> responder = std::make_shared<HttpResponder>();
  responder->bind(aRequest);
  return responder;
}

std::shared_ptr<HttpResponder> HttpResponder::createWaiting(PipelinedConnection& aConnection)
{
  std::shared_ptr<HttpResponder> responder = std::make_shared<HttpResponder>();
  responder->mWaiting = std::make_unique<WaitingResponse>(aConnection);
  return responder;
}

void HttpResponder::bind(h2o_req_t* aRequest)
{
  mRequest = aRequest;
  mGenerator = { { onProceed, onStop }, this };
  void* reference = h2o_mem_alloc_shared(&aRequest->pool, sizeof(ResponderReference), onDispose);
  new (reference) ResponderReference(shared_from_this());
}

void HttpResponder::attach(h2o_req_t* aRequest)
{
  const std::unique_ptr<WaitingResponse> waiting = std::move(mWaiting);
  bind(aRequest);
  if (waiting->head()) {
    sendHead(*waiting->head());
    flush();
  }
  const std::function<void()> onWritable = mOnWritable;
  if (!mFinished && !mAborted && onWritable) {
    onWritable();
  }
}

void HttpResponder::abandon()
{
  const std::shared_ptr<HttpResponder> self = shared_from_this();
  mWaiting.reset();
  detach();
  if (mOnDisposed) {
    mOnDisposed();
  }
}

bool HttpResponder::mayCollect(std::size_t aBytes)
{
  return mWaiting == nullptr || mWaiting->setBodyBytes(aBytes);
}

void HttpResponder::onProceed(h2o_generator_t* aGenerator, h2o_req_t*)
{
  reinterpret_cast<Generator*>(aGenerator)->mResponder->proceed();
}

void HttpResponder::onStop(h2o_generator_t* aGenerator, h2o_req_t*)
{
  reinterpret_cast<Generator*>(aGenerator)->mResponder->detach();
}

void HttpResponder::onDispose(void* aReference)
{
  ResponderReference* reference = static_cast<ResponderReference*>(aReference);
  const ResponderReference responder = *reference;
  reference->~ResponderReference();
  responder->detach();
  if (responder->mOnDisposed) {
    responder->mOnDisposed();
  }
}

void HttpResponder::detach()
{
  const bool unfinished = !std::exchange(mDetached, true) && !mFinished && !mAborted;
  mRequest = nullptr;
  mOnWritable = nullptr;
  const std::function<void()> onDisconnect = std::exchange(mOnDisconnect, nullptr);
  if (unfinished && onDisconnect) {
    onDisconnect();
  }
}

void HttpResponder::start(const ResponseHead& aHead)
{
  if (mStarted) {
    return;
  }
  if (mWaiting != nullptr) {
    mStarted = true;
    mWaiting->setHead(aHead);
  } else if (mRequest != nullptr) {
    mStarted = true;
    sendHead(aHead);
  }
}

/// \returns false when the connection must not end after this response, because requests behind it
/// were started.
bool HttpResponder::mayClose() const
{
  if (mRequest->version >= kHttp2) {
    return true;
  }
  const PipelinedConnection* connection = PipelinedConnection::find(socketOf(*mRequest));
  return connection == nullptr || !connection->hasStartedRequests();
}

void HttpResponder::sendHead(const ResponseHead& aHead)
{
  if (aHead.mCloseAfter && (mMustClose || mayClose())) {
    mRequest->http1_is_persistent = 0;
  }
  mRequest->res.status = aHead.mStatus;
  mRequest->res.reason = "";
  mRequest->res.content_length = aHead.mLength ? *aHead.mLength : SIZE_MAX;
  if (!aHead.mLength) {
    setResetOnClose(true);
    if (mRequest->version < kHttp11) {
      // Only the end of the connection shows the end of the body.
      mRequest->http1_is_persistent = 0;
    }
  }
  for (const Header& header : aHead.mHeaders) {
    const h2o_iovec_t name = h2o_strdup(&mRequest->pool, header.mName.data(), header.mName.size());
    const h2o_iovec_t value =
      h2o_strdup(&mRequest->pool, header.mValue.data(), header.mValue.size());
    h2o_strtolower(name.base, name.len);
    h2o_add_header_by_str(&mRequest->pool,
                          &mRequest->res.headers,
                          name.base,
                          name.len,
                          1,
                          name.base,
                          value.base,
                          value.len);
  }
  h2o_start_response(mRequest, &mGenerator.mSuper);
}

std::size_t HttpResponder::write(std::string_view aBytes)
{
  if ((mRequest == nullptr && mWaiting == nullptr) || mFinished || mAborted) {
    return 0;
  }
  mPending.append(aBytes);
  if (mWaiting != nullptr) {
    return mWaiting->setBodyBytes(mPending.size()) ? mPending.size()
                                                   : std::max(mPending.size(), kStreamBufferBytes);
  }
  flush();
  return mPending.size() + mSending.size();
}

void HttpResponder::finish()
{
  if ((mRequest == nullptr && mWaiting == nullptr) || mFinished || mAborted) {
    return;
  }
  mFinished = true;
  flush();
}

void HttpResponder::abort()
{
  if ((mRequest == nullptr && mWaiting == nullptr) || mFinished || mAborted) {
    return;
  }
  if (!mStarted) {
    // h2o ends a request only with a response. Usually the caller has disconnected and does not
    // read it.
    mMustClose = true;
    constexpr int kBadGateway = 502;
    start({ kBadGateway, {}, 0, true });
    finish();
    return;
  }
  mAborted = true;
  flush();
}

bool HttpResponder::isDisconnected()
{
  if (mWaiting != nullptr) {
    return mWaiting->isDisconnected();
  }
  if (mRequest == nullptr) {
    return true;
  }
  if (mRequest->version >= kHttp2 || mRequest->conn->callbacks->get_socket == nullptr) {
    return false;
  }
  return isClosedByPeer(h2o_socket_get_fd(socketOf(*mRequest)));
}

/// h2o sends some bodies without a length until the connection is closed. A reset tells the caller
/// of such a body that it is truncated, also when this process ends.
void HttpResponder::setResetOnClose(bool aReset)
{
  h2o_conn_t* connection = mRequest->conn;
  if (mRequest->version >= kHttp2 || connection->callbacks->get_socket == nullptr) {
    return;
  }
  const linger option{ aReset ? 1 : 0, 0 };
  const int descriptor = h2o_socket_get_fd(connection->callbacks->get_socket(connection));
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void HttpResponder::flush()
{
  const bool nothingToSend = mPending.empty() && !mFinished && !mAborted;
  if (mRequest == nullptr || mSendInProgress || !mStarted || nothingToSend) {
    return;
  }
  mSendInProgress = true;
  mSending = std::exchange(mPending, {});
  h2o_iovec_t part = h2o_iovec_init(mSending.data(), mSending.size());
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  if (mFinished) {
    state = H2O_SEND_STATE_FINAL;
    setResetOnClose(false);
  } else if (mAborted) {
    state = H2O_SEND_STATE_ERROR;
  }
  h2o_send(mRequest, &part, mSending.empty() ? 0 : 1, state);
}

void HttpResponder::proceed()
{
  const std::shared_ptr<HttpResponder> self = shared_from_this();
  mSendInProgress = false;
  mSending.clear();
  flush();
  const std::function<void()> onWritable = mOnWritable;
  if (!mSendInProgress && onWritable) {
    onWritable();
  }
}

} // namespace bulrushrun
