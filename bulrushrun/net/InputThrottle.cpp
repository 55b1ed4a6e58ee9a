#include "bulrushrun/net/InputThrottle.h"

#include "bulrushrun/net/PipelinedConnection.h"

#include <algorithm>
#include <utility>

namespace bulrushrun {

InputThrottle::~InputThrottle()
{
  if (mTimer) {
    mLoop.cancelTimer(*mTimer);
  }
  for (const auto& [socket, paused] : mPaused) {
    socket->on_close = paused->mOnClose;
  }
}

int InputThrottle::onRequest(h2o_req_t* aRequest, void* aThrottle)
{
  InputThrottle& throttle = *static_cast<InputThrottle*>(aThrottle);
  h2o_socket_t* socket = aRequest->conn->callbacks->get_socket(aRequest->conn);
  if (socket == nullptr) {
    return 0;
  }
  const std::size_t bytes = socket->input->size;
  throttle.mHeldBytes += bytes;
  // h2o reads from a connection only while a request is incomplete.
  const bool isReading =
    (socket->_cb.read != nullptr && !PipelinedConnection::isWatching(socket)) ||
    throttle.mPaused.contains(socket);
  if (bytes >= kMinPausedBytes && isReading) {
    throttle.mReading.push_back(socket);
  } else if (bytes >= kMinPausedBytes) {
    throttle.mHasCompleteOnes = true;
  }
  return 0;
}

void InputThrottle::collect()
{
  mHeldBytes = 0;
  mHasCompleteOnes = false;
  mReading.clear();
  mConfiguration.http1.callbacks.foreach_request(&mContext, onRequest, this);
}

void InputThrottle::update()
{
  const std::uint64_t now = h2o_now(mContext.loop);
  if (mLimits.mBudget == SIZE_MAX ||
      now < mUpdatedAt + static_cast<std::uint64_t>(toMillis(kPeriod))) {
    return;
  }
  mUpdatedAt = now;
  collect();
  const std::size_t pausedBefore = mPaused.size();
  std::sort(mReading.begin(), mReading.end(), [](h2o_socket_t* aLeft, h2o_socket_t* aRight) {
    return aLeft->input->size > aRight->input->size;
  });
  const bool isWithinBudget = mHeldBytes <= mLimits.mBudget;
  // A large request that is complete makes room when its response is sent. Without one, the largest
  // must become complete.
  bool mustGoOn = !mHasCompleteOnes;
  std::size_t expected = mHeldBytes;
  for (h2o_socket_t* socket : mReading) {
    const std::size_t remaining = mLimits.mBody - std::min(socket->input->size, mLimits.mBody);
    const bool fits = expected + remaining <= mLimits.mBudget + mLimits.mBody;
    if (isWithinBudget || fits || mustGoOn) {
      mustGoOn = false;
      expected += remaining;
      resume(socket);
    } else {
      pause(socket);
    }
  }
  if (!mPaused.empty() && !mTimer) {
    mTimer = mLoop.after(kPeriod, [this] { mTimer.reset(); });
  }
  if (mOnChange && (pausedBefore == 0) != mPaused.empty()) {
    mOnChange(mHeldBytes, mPaused.size());
  }
}

void InputThrottle::pause(h2o_socket_t* aSocket)
{
  if (mPaused.contains(aSocket)) {
    return;
  }
  std::unique_ptr<PausedConnection> paused = std::make_unique<PausedConnection>();
  *paused = { this, aSocket, aSocket->_cb.read, aSocket->on_close };
  aSocket->on_close = { onPausedClosed, paused.get() };
  h2o_socket_read_stop(aSocket);
  mPaused.emplace(aSocket, std::move(paused));
}

void InputThrottle::resume(h2o_socket_t* aSocket)
{
  const auto found = mPaused.find(aSocket);
  if (found == mPaused.end()) {
    return;
  }
  const h2o_socket_cb onRead = found->second->mOnRead;
  aSocket->on_close = found->second->mOnClose;
  mPaused.erase(found);
  h2o_socket_read_start(aSocket, onRead);
}

void InputThrottle::onPausedClosed(void* aConnection)
{
  const PausedConnection paused = *static_cast<const PausedConnection*>(aConnection);
  paused.mThrottle->mPaused.erase(paused.mSocket);
  if (paused.mOnClose.cb != nullptr) {
    paused.mOnClose.cb(paused.mOnClose.data);
  }
}

} // namespace bulrushrun
