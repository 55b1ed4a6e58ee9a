#include "bulrushrun/net/HttpResponder.h"

#include <sys/socket.h>

#include <cerrno>
#include <new>
#include <utility>

namespace bulrushrun {

namespace {

using ResponderReference = std::shared_ptr<HttpResponder>;

/// Versions as h2o represents them.
constexpr int kHttp11 = 0x101;
constexpr int kHttp2 = 0x200;

} // namespace

std::shared_ptr<HttpResponder> HttpResponder::create(h2o_req_t* aRequest)
{
  std::shared_ptr<HttpResponder> responder = std::make_shared<HttpResponder>();
  responder->mRequest = aRequest;
  responder->mGenerator = { { onProceed, onStop }, responder.get() };
  void* reference = h2o_mem_alloc_shared(&aRequest->pool, sizeof(ResponderReference), onDispose);
  new (reference) ResponderReference(responder);
  return responder;
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
  if (mRequest == nullptr || mStarted) {
    return;
  }
  mStarted = true;
  if (aHead.mCloseAfter) {
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
  if (mRequest == nullptr || mFinished || mAborted) {
    return 0;
  }
  mPending.append(aBytes);
  flush();
  return mPending.size() + mSending.size();
}

void HttpResponder::finish()
{
  if (mRequest == nullptr || mFinished || mAborted) {
    return;
  }
  mFinished = true;
  flush();
}

void HttpResponder::abort()
{
  if (mRequest == nullptr || mFinished || mAborted) {
    return;
  }
  if (!mStarted) {
    // h2o ends a request only with a response. Usually the caller has disconnected and does not
    // read it.
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
  if (mRequest == nullptr) {
    return true;
  }
  h2o_conn_t* connection = mRequest->conn;
  if (mRequest->version >= 0x200 || connection->callbacks->get_socket == nullptr) {
    return false;
  }
  char byte = 0;
  const int descriptor = h2o_socket_get_fd(connection->callbacks->get_socket(connection));
  const ssize_t received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 ||
         (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
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
  if (mSendInProgress || !mStarted || nothingToSend) {
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
