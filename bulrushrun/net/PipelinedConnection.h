#pragma once

#include "bulrushrun/net/HttpResponder.h"
#include "bulrushrun/net/PipelinedRequest.h"

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushrun {

class RequestPipeline;

/// \brief How h2o's next request of a connection relates to those started ahead.
enum class PipelineDelivery
{
  /// It was not started before.
  New,
  /// It was started ahead, and its response is sent now.
  Attached,
  /// A request was started ahead that differs from it; the connection must be closed.
  Mismatched,
};

/// \brief One HTTP/1 connection of a caller, on which further requests are started while one is in
/// progress.
///
/// The bytes behind the request in progress are only looked at: those in h2o's input buffer stay
/// there, and those in the kernel are peeked. h2o reads and frames them itself when it goes on to
/// them. So nothing of h2o's moves, and what is not started costs no memory of the process.
class PipelinedConnection
{
public:
  PipelinedConnection(RequestPipeline& aPipeline, h2o_socket_t* aSocket);
  PipelinedConnection(const PipelinedConnection&) = delete;
  PipelinedConnection& operator=(const PipelinedConnection&) = delete;
  PipelinedConnection(PipelinedConnection&&) = delete;
  PipelinedConnection& operator=(PipelinedConnection&&) = delete;
  ~PipelinedConnection();

  /// \brief \returns the state of the connection, or nullptr.
  static PipelinedConnection* find(const h2o_socket_t* aSocket);
  /// \brief \returns true when the socket is polled for further requests, not read by h2o.
  static bool isWatching(const h2o_socket_t* aSocket) { return aSocket->_cb.read == onReadable; }

  /// \brief Takes the request that h2o has read.
  PipelineDelivery deliver(h2o_req_t* aRequest);
  /// \brief Looks for further requests until the one that h2o has read is over.
  /// \param aSize  bytes of that request in the input buffer
  void watch(h2o_req_t* aRequest, std::size_t aSize);

  /// \brief Removes the callbacks of the responses that wait.
  void removeCallbacks();

  /// \brief \returns true when requests behind the current one were started.
  bool hasStartedRequests() const { return !mStarted.empty(); }
  /// \brief \returns true when the caller has closed the connection; checks the socket.
  bool isClosedByCaller() const;
  /// \brief Replaces a number of bytes of waiting responses by another one.
  void changeHeldBytes(std::size_t aOld, std::size_t aNew);
  /// \brief \returns true when the waiting responses of the connection or of the process reach
  /// their limit.
  bool holdsTooMuch() const;

private:
  /// A request that was started ahead.
  struct StartedRequest
  {
    std::string mBytes;
    std::shared_ptr<HttpResponder> mResponder;
  };

  static void onReadable(h2o_socket_t* aSocket, const char* aError);
  static void onClosed(void* aConnection);
  static void onCurrentDisposed(void* aReference);

  bool mayReadAhead() const;
  void readAhead();
  std::string availableBytes();
  bool startNext(std::string_view& aRest);
  void unwatch();
  void waitForBytes(std::size_t aKernelBytes);
  void stopPolling();
  void stopAtLimit();
  void setAtLimit(bool aAtLimit);
  void setLowWatermark(int aBytes);
  void discardUnread();
  void abandonStarted();

  RequestPipeline& mPipeline;
  h2o_socket_t* mSocket;
  /// The request that h2o has read, until it is over, and its bytes in the input buffer.
  h2o_req_t* mCurrent = nullptr;
  std::size_t mCurrentSize = 0;
  /// Number of the current request, which changes when h2o goes on.
  std::uint64_t mCurrentNumber = 0;
  /// In the order of the connection.
  std::vector<StartedRequest> mStarted;
  std::size_t mStartedBytes = 0;
  std::size_t mHeldBytes = 0;
  /// The next request must wait for its turn.
  bool mNextMustWait = false;
  /// The current request had to wait for its turn, so nothing behind it is started.
  bool mCurrentWaited = false;
  bool mAtLimit = false;
  bool mPolling = false;
  /// Bytes in the kernel from which the socket counts as readable (SO_RCVLOWAT).
  int mLowWatermark = 1;
  /// Bytes in the kernel when they were last looked at.
  std::size_t mKernelBytes = 0;
  /// Expires with the connection, which a handler may close.
  std::shared_ptr<int> mLifetime = std::make_shared<int>(0);
};

} // namespace bulrushrun
