#pragma once

#include "bulrushrun/net.h"

#include <h2o.h>

#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief Loopback proxy before one address: what goes through it can be delayed, held up in one or
/// both directions, silenced for good or reset, from outside of both ends.
class FaultProxy
{
public:
  /// \throws std::system_error when the address can't be bound
  FaultProxy(EventLoop& aLoop, const Endpoint& aListen, const Endpoint& aTo);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  FaultProxy(FaultProxy&&) = delete;
  FaultProxy& operator=(FaultProxy&&) = delete;
  ~FaultProxy();

  /// \brief Bytes are passed on after this delay.
  void setDelay(Duration aDelay) { mDelay = aDelay; }
  /// \brief Holds bytes up that go towards the address, or come back from it; lets those that
  /// waited through when it ends.
  void stall(bool aForward, bool aBackward);
  /// \brief Connections of this moment carry nothing any more, without a word; new ones work.
  void blackhole();
  /// \brief Resets the connections of this moment.
  void reset();
  /// \brief New connections are refused while set.
  void setRefusing(bool aRefuse);

private:
  struct Pipe;

  /// One end of a pipe, with what waits to be written to it.
  struct End
  {
    Pipe* mPipe = nullptr;
    h2o_socket_t* mSocket = nullptr;
    std::string mWaiting;
    std::string mWriting;
    bool mForward = false;
    bool mClosing = false;
  };

  /// One connection through the proxy. It lives until the proxy ends: callbacks may still come.
  struct Pipe
  {
    FaultProxy* mLink = nullptr;
    End mNear;
    End mFar;
    bool mConnected = false;
    bool mBlackholed = false;
    bool mClosed = false;
  };

  static void onAccept(h2o_socket_t* aListener, const char* aError);
  static void onConnect(h2o_socket_t* aSocket, const char* aError);
  static void onRead(h2o_socket_t* aSocket, const char* aError);
  static void onWritten(h2o_socket_t* aSocket, const char* aError);
  static void close(Pipe& aPipe, bool aReset);

  void listen();
  void accept(h2o_socket_t* aNear);
  bool isHeld(const End& aTo) const { return aTo.mForward ? mHoldForward : mHoldBackward; }
  void pass(End& aTo, std::string aBytes);
  void flush(End& aTo);

  EventLoop& mLoop;
  Endpoint mListen;
  Endpoint mTo;
  h2o_socket_t* mListener = nullptr;
  Duration mDelay{ 0 };
  bool mHoldForward = false;
  bool mHoldBackward = false;
  std::vector<std::unique_ptr<Pipe>> mPipes;
};

} // namespace bulrushrun::soak
