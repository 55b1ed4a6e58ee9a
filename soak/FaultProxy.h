#pragma once

#include "bulrushrun/net.h"

#include <h2o.h>

#include <memory>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief TCP proxy on the loopback interface that injects network faults in front of one address:
/// delays, stalls in one or both directions, blackholed connections, resets, refused connections,
/// refusals that are sent again, and answers that end early.
class FaultProxy
{
public:
  /// \brief How an earlier refusal is sent again.
  enum class Repetition
  {
    None,
    Unchanged,
    WithoutId,
  };

  /// \throws std::system_error if the address can't be bound
  FaultProxy(EventLoop& aLoop, const Endpoint& aListen, const Endpoint& aDestination);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  FaultProxy(FaultProxy&&) = delete;
  FaultProxy& operator=(FaultProxy&&) = delete;
  ~FaultProxy();

  /// \brief Sets the delay after which bytes are forwarded.
  void setDelay(Duration aDelay) { mDelay = aDelay; }
  /// \brief Holds bytes towards the address or back from it; when a stall ends, the held bytes are
  /// forwarded.
  void stall(bool aForward, bool aBackward);
  /// \brief Makes open connections drop all further bytes without being closed; new connections
  /// work.
  void blackhole();
  /// \brief Resets all open connections.
  void reset();
  /// \brief Ends answers early with this probability, mostly inside their heads, and closes their
  /// connections in an orderly way.
  void cutAnswers(double aProbability) { mCutProbability = aProbability; }
  /// \brief \returns the number of answers that were ended early.
  std::size_t answersCut() const { return mAnswersCut; }
  /// \brief Refuses new connections while set.
  void setRefusing(bool aRefuse);
  /// \brief Makes each request on a kept connection cause the last refusal on it to be sent again.
  void repeatRefusals(Repetition aRepetition) { mRepetition = aRepetition; }
  std::size_t repeatedRefusals() const { return mRepeatedRefusals; }

private:
  struct Connection;

  /// One socket of a proxied connection, with the bytes to be written to it.
  struct Side
  {
    Connection* mConnection = nullptr;
    h2o_socket_t* mSocket = nullptr;
    std::string mPendingBytes;
    std::string mInFlightBytes;
    bool mIsForward = false;
    bool mClosing = false;
  };

  /// One proxied connection. It is kept until the proxy is destroyed, because callbacks may still
  /// refer to it.
  struct Connection
  {
    FaultProxy* mOwner = nullptr;
    Side mClientSide;
    Side mServerSide;
    std::string mLastRefusal;
    bool mConnected = false;
    bool mBlackholed = false;
    bool mClosed = false;
  };

  static void onAccept(h2o_socket_t* aListener, const char* aError);
  static void onConnect(h2o_socket_t* aSocket, const char* aError);
  static void onRead(h2o_socket_t* aSocket, const char* aError);
  static void onWritten(h2o_socket_t* aSocket, const char* aError);
  static void close(Connection& aConnection, bool aReset);

  void listen();
  void accept(h2o_socket_t* aClientSocket);
  bool isStalled(const Side& aDestination) const
  {
    return aDestination.mIsForward ? mStallForward : mStallBackward;
  }
  void repeatRefusal(Connection& aConnection, const Side& aSource, const std::string& aBytes);
  void cutAnswer(Connection& aConnection, std::string& aBytes);
  void forward(Side& aDestination, std::string aBytes);
  void flush(Side& aDestination);

  EventLoop& mLoop;
  Endpoint mListen;
  Endpoint mUpstream;
  h2o_socket_t* mListener = nullptr;
  Random mRandom;
  double mCutProbability = 0;
  std::size_t mAnswersCut = 0;
  Duration mDelay{ 0 };
  bool mStallForward = false;
  bool mStallBackward = false;
  Repetition mRepetition = Repetition::None;
  std::size_t mRepeatedRefusals = 0;
  std::vector<std::unique_ptr<Connection>> mConnections;
};

} // namespace bulrushrun::soak
