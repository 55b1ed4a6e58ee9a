#include "soak/FaultProxy.h"

#include "bulrushrun/net/Sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace bulrushrun::soak {

FaultProxy::FaultProxy(EventLoop& aLoop, const Endpoint& aListen, const Endpoint& aDestination)
  : mLoop(aLoop)
  , mListen(aListen)
  , mUpstream(aDestination)
  , mRandom((std::uint64_t{ aListen.mAddress } << 16U) | aListen.mPort)
{
  listen();
}

FaultProxy::~FaultProxy()
{
  setRefusing(true);
  for (const std::unique_ptr<Connection>& connection : mConnections) {
    close(*connection, true);
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
  h2o_socket_t* client = aError == nullptr ? h2o_evloop_socket_accept(aListener) : nullptr;
  if (client != nullptr) {
    static_cast<FaultProxy*>(aListener->data)->accept(client);
  }
}

void FaultProxy::accept(h2o_socket_t* aClientSocket)
{
  mConnections.push_back(std::make_unique<Connection>());
  Connection& connection = *mConnections.back();
  connection.mOwner = this;
  connection.mClientSide.mConnection = connection.mServerSide.mConnection = &connection;
  connection.mClientSide.mSocket = aClientSocket;
  connection.mServerSide.mIsForward = true;
  sockaddr_in address = socketAddress(mUpstream);
  connection.mServerSide.mSocket = h2o_socket_connect(
    mLoop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof(address), onConnect);
  aClientSocket->data = &connection.mClientSide;
  if (connection.mServerSide.mSocket == nullptr) {
    close(connection, true);
    return;
  }
  connection.mServerSide.mSocket->data = &connection.mServerSide;
  h2o_socket_read_start(aClientSocket, onRead);
}

void FaultProxy::onConnect(h2o_socket_t* aSocket, const char* aError)
{
  Side& server = *static_cast<Side*>(aSocket->data);
  if (aError != nullptr) {
    close(*server.mConnection, true);
    return;
  }
  server.mConnection->mConnected = true;
  h2o_socket_read_start(aSocket, onRead);
  server.mConnection->mOwner->flush(server);
}

void FaultProxy::onRead(h2o_socket_t* aSocket, const char* aError)
{
  Side& source = *static_cast<Side*>(aSocket->data);
  Connection& connection = *source.mConnection;
  Side& destination =
    &source == &connection.mClientSide ? connection.mServerSide : connection.mClientSide;
  std::string bytes{ aSocket->input->bytes, aSocket->input->size };
  h2o_buffer_consume(&aSocket->input, aSocket->input->size);
  if (connection.mBlackholed) {
    return;
  }
  connection.mOwner->repeatRefusal(connection, source, bytes);
  if (&source == &connection.mServerSide) {
    connection.mOwner->cutAnswer(connection, bytes);
  }
  connection.mOwner->forward(destination, std::move(bytes));
  if (aError != nullptr) {
    destination.mClosing = true;
    h2o_socket_read_stop(aSocket);
    connection.mOwner->flush(destination);
  }
}

void FaultProxy::repeatRefusal(Connection& aConnection,
                               const Side& aSource,
                               const std::string& aBytes)
{
  if (&aSource == &aConnection.mServerSide) {
    if (aBytes.starts_with("HTTP/1.1 503")) {
      aConnection.mLastRefusal = aBytes;
    }
    return;
  }
  if (mRepetition == Repetition::None || aConnection.mLastRefusal.empty() || aBytes.empty()) {
    return;
  }
  std::string refusal = aConnection.mLastRefusal;
  if (mRepetition == Repetition::WithoutId) {
    std::string lowered = refusal;
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
    const std::size_t line = lowered.find("x-request-id:");
    if (line != std::string::npos) {
      refusal.erase(line, refusal.find("\r\n", line) + 2 - line);
    }
  }
  ++mRepeatedRefusals;
  forward(aConnection.mClientSide, std::move(refusal));
}

void FaultProxy::cutAnswer(Connection& aConnection, std::string& aBytes)
{
  /// About the length of a target's head.
  constexpr std::size_t kHeadBytes = 300;
  if (aBytes.empty() || !mRandom.chance(mCutProbability)) {
    return;
  }
  ++mAnswersCut;
  aBytes.resize(mRandom.below(std::min(aBytes.size(), kHeadBytes)));
  aConnection.mClientSide.mClosing = true;
  h2o_socket_read_stop(aConnection.mServerSide.mSocket);
}

void FaultProxy::forward(Side& aDestination, std::string aBytes)
{
  if (mDelay == Duration{ 0 }) {
    aDestination.mPendingBytes += aBytes;
    flush(aDestination);
    return;
  }
  mLoop.after(mDelay, [this, &aDestination, bytes = std::move(aBytes)] {
    aDestination.mPendingBytes += bytes;
    flush(aDestination);
  });
}

void FaultProxy::flush(Side& aDestination)
{
  Connection& connection = *aDestination.mConnection;
  if (connection.mClosed || connection.mBlackholed || !connection.mConnected ||
      isStalled(aDestination) || !aDestination.mInFlightBytes.empty()) {
    return;
  }
  if (aDestination.mPendingBytes.empty()) {
    if (aDestination.mClosing) {
      close(connection, false);
    }
    return;
  }
  aDestination.mInFlightBytes = std::exchange(aDestination.mPendingBytes, {});
  h2o_iovec_t buffer =
    h2o_iovec_init(aDestination.mInFlightBytes.data(), aDestination.mInFlightBytes.size());
  h2o_socket_write(aDestination.mSocket, &buffer, 1, onWritten);
}

void FaultProxy::onWritten(h2o_socket_t* aSocket, const char* aError)
{
  Side& destination = *static_cast<Side*>(aSocket->data);
  destination.mInFlightBytes.clear();
  if (aError != nullptr) {
    close(*destination.mConnection, true);
    return;
  }
  destination.mConnection->mOwner->flush(destination);
}

void FaultProxy::close(Connection& aConnection, bool aReset)
{
  if (std::exchange(aConnection.mClosed, true)) {
    return;
  }
  for (Side* side : { &aConnection.mClientSide, &aConnection.mServerSide }) {
    if (side->mSocket == nullptr) {
      continue;
    }
    if (aReset) {
      const linger immediately{ 1, 0 };
      ::setsockopt(
        h2o_socket_get_fd(side->mSocket), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }
    h2o_socket_close(std::exchange(side->mSocket, nullptr));
  }
}

void FaultProxy::stall(bool aForward, bool aBackward)
{
  mStallForward = aForward;
  mStallBackward = aBackward;
  for (const std::unique_ptr<Connection>& connection : mConnections) {
    flush(connection->mClientSide);
    flush(connection->mServerSide);
  }
}

void FaultProxy::blackhole()
{
  for (const std::unique_ptr<Connection>& connection : mConnections) {
    connection->mBlackholed = true;
  }
}

void FaultProxy::reset()
{
  for (const std::unique_ptr<Connection>& connection : mConnections) {
    close(*connection, true);
  }
}

} // namespace bulrushrun::soak
