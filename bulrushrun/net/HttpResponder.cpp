#include "bulrushrun/net/HttpResponder.h"

#include <sys/socket.h>

#include <cerrno>
#include <new>
#include <utility>

namespace bulrushrun {

namespace {

using Slot = std::shared_ptr<HttpResponder>;

} // namespace

std::shared_ptr<HttpResponder> HttpResponder::create(h2o_req_t* aRequest)
{
  std::shared_ptr<HttpResponder> responder = std::make_shared<HttpResponder>();
  responder->mRequest = aRequest;
  responder->mGenerator = { { onProceed, onStop }, responder.get() };
  void* slot = h2o_mem_alloc_shared(&aRequest->pool, sizeof(Slot), onDispose);
  new (slot) Slot(responder);
  return responder;
}

void HttpResponder::onProceed(h2o_generator_t* aGenerator, h2o_req_t*)
{
  reinterpret_cast<Generator*>(aGenerator)->mResponder->proceed();
}

void HttpResponder::onStop(h2o_generator_t* aGenerator, h2o_req_t*)
{
  reinterpret_cast<Generator*>(aGenerator)->mResponder->leave();
}

void HttpResponder::onDispose(void* aSlot)
{
  Slot* slot = static_cast<Slot*>(aSlot);
  const Slot responder = *slot;
  slot->~Slot();
  responder->leave();
  if (responder->mOnDisposed) {
    responder->mOnDisposed();
  }
}

void HttpResponder::leave()
{
  const bool unfinished = !std::exchange(mClosed, true) && !mFinished && !mAborted;
  mRequest = nullptr;
  mOnWritable = nullptr;
  const std::function<void()> onGone = std::exchange(mOnDisconnect, nullptr);
  if (unfinished && onGone) {
    onGone();
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
  mWaiting.append(aBytes);
  flush();
  return mWaiting.size() + mSending.size();
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
    // h2o ends a request by an answer only. The caller has left, as a rule, and does not read it.
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
  const ssize_t got = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void HttpResponder::flush()
{
  const bool nothingToSend = mWaiting.empty() && !mFinished && !mAborted;
  if (mBusy || !mStarted || nothingToSend) {
    return;
  }
  mBusy = true;
  mSending = std::exchange(mWaiting, {});
  h2o_iovec_t part = h2o_iovec_init(mSending.data(), mSending.size());
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  if (mFinished) {
    state = H2O_SEND_STATE_FINAL;
  } else if (mAborted) {
    state = H2O_SEND_STATE_ERROR;
  }
  h2o_send(mRequest, &part, mSending.empty() ? 0 : 1, state);
}

void HttpResponder::proceed()
{
  const std::shared_ptr<HttpResponder> alive = shared_from_this();
  mBusy = false;
  mSending.clear();
  flush();
  const std::function<void()> onWritable = mOnWritable;
  if (!mBusy && onWritable) {
    onWritable();
  }
}

} // namespace bulrushrun
