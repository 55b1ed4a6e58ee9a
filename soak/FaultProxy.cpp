#include "soak/FaultProxy.h"

#include "bulrushrun/net/Sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace bulrushrun::soak {

FaultProxy::FaultProxy(EventLoop& aLoop, const Endpoint& aListen, const Endpoint& aTo)
  : mLoop(aLoop)
  , mListen(aListen)
  , mTo(aTo)
{
  listen();
}

FaultProxy::~FaultProxy()
{
  setRefusing(true);
  for (const std::unique_ptr<Pipe>& pipe : mPipes) {
    close(*pipe, true);
  }
}

void FaultProxy::listen()
{
  mListener =
    h2o_evloop_socket_create(mLoop.raw(), openListener(mListen), H2O_SOCKET_FLAG_DONT_READ);
  mListener->data = this;
  h2o_socket_read_start(mListener, onAccept);
}

void FaultProxy::setRefusing(bool aRefuse)
{
  if (aRefuse && mListener != nullptr) {
    h2o_socket_close(std::exchange(mListener, nullptr));
  } else if (!aRefuse && mListener == nullptr) {
    listen();
  }
}

void FaultProxy::onAccept(h2o_socket_t* aListener, const char* aError)
{
  h2o_socket_t* near = aError == nullptr ? h2o_evloop_socket_accept(aListener) : nullptr;
  if (near != nullptr) {
    static_cast<FaultProxy*>(aListener->data)->accept(near);
  }
}

void FaultProxy::accept(h2o_socket_t* aNear)
{
  mPipes.push_back(std::make_unique<Pipe>());
  Pipe& pipe = *mPipes.back();
  pipe.mLink = this;
  pipe.mNear.mPipe = pipe.mFar.mPipe = &pipe;
  pipe.mNear.mSocket = aNear;
  pipe.mFar.mForward = true;
  sockaddr_in address = socketAddress(mTo);
  pipe.mFar.mSocket = h2o_socket_connect(
    mLoop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof(address), onConnect);
  aNear->data = &pipe.mNear;
  if (pipe.mFar.mSocket == nullptr) {
    close(pipe, true);
    return;
  }
  pipe.mFar.mSocket->data = &pipe.mFar;
  h2o_socket_read_start(aNear, onRead);
}

void FaultProxy::onConnect(h2o_socket_t* aSocket, const char* aError)
{
  End& far = *static_cast<End*>(aSocket->data);
  if (aError != nullptr) {
    close(*far.mPipe, true);
    return;
  }
  far.mPipe->mConnected = true;
  h2o_socket_read_start(aSocket, onRead);
  far.mPipe->mLink->flush(far);
}

void FaultProxy::onRead(h2o_socket_t* aSocket, const char* aError)
{
  End& from = *static_cast<End*>(aSocket->data);
  Pipe& pipe = *from.mPipe;
  End& to = &from == &pipe.mNear ? pipe.mFar : pipe.mNear;
  std::string bytes{ aSocket->input->bytes, aSocket->input->size };
  h2o_buffer_consume(&aSocket->input, aSocket->input->size);
  if (pipe.mBlackholed) {
    return;
  }
  pipe.mLink->pass(to, std::move(bytes));
  if (aError != nullptr) {
    to.mClosing = true;
    h2o_socket_read_stop(aSocket);
    pipe.mLink->flush(to);
  }
}

void FaultProxy::pass(End& aTo, std::string aBytes)
{
  if (mDelay == Duration{ 0 }) {
    aTo.mWaiting += aBytes;
    flush(aTo);
    return;
  }
  mLoop.after(mDelay, [this, &aTo, bytes = std::move(aBytes)] {
    aTo.mWaiting += bytes;
    flush(aTo);
  });
}

void FaultProxy::flush(End& aTo)
{
  Pipe& pipe = *aTo.mPipe;
  if (pipe.mClosed || pipe.mBlackholed || !pipe.mConnected || isHeld(aTo) ||
      !aTo.mWriting.empty()) {
    return;
  }
  if (aTo.mWaiting.empty()) {
    if (aTo.mClosing) {
      close(pipe, false);
    }
    return;
  }
  aTo.mWriting = std::exchange(aTo.mWaiting, {});
  h2o_iovec_t part = h2o_iovec_init(aTo.mWriting.data(), aTo.mWriting.size());
  h2o_socket_write(aTo.mSocket, &part, 1, onWritten);
}

void FaultProxy::onWritten(h2o_socket_t* aSocket, const char* aError)
{
  End& to = *static_cast<End*>(aSocket->data);
  to.mWriting.clear();
  if (aError != nullptr) {
    close(*to.mPipe, true);
    return;
  }
  to.mPipe->mLink->flush(to);
}

void FaultProxy::close(Pipe& aPipe, bool aReset)
{
  if (std::exchange(aPipe.mClosed, true)) {
    return;
  }
  for (End* end : { &aPipe.mNear, &aPipe.mFar }) {
    if (end->mSocket == nullptr) {
      continue;
    }
    if (aReset) {
      const linger atOnce{ 1, 0 };
      ::setsockopt(h2o_socket_get_fd(end->mSocket), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    }
    h2o_socket_close(std::exchange(end->mSocket, nullptr));
  }
}

void FaultProxy::stall(bool aForward, bool aBackward)
{
  mHoldForward = aForward;
  mHoldBackward = aBackward;
  for (const std::unique_ptr<Pipe>& pipe : mPipes) {
    flush(pipe->mNear);
    flush(pipe->mFar);
  }
}

void FaultProxy::blackhole()
{
  for (const std::unique_ptr<Pipe>& pipe : mPipes) {
    pipe->mBlackholed = true;
  }
}

void FaultProxy::reset()
{
  for (const std::unique_ptr<Pipe>& pipe : mPipes) {
    close(*pipe, true);
  }
}

} // namespace bulrushrun::soak
