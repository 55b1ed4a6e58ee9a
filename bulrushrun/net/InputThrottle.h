#pragma once

#include "bulrushrun/core.h"
#include "bulrushrun/net/EventLoop.h"

#include <h2o.h>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bulrushrun {

/// \brief Bounds of the request bytes that a server holds, in bytes.
struct InputLimits
{
  /// All requests together: above it, reading from connections stops.
  std::size_t mBudget = SIZE_MAX;
  /// The largest body of one request.
  std::size_t mBody = 0;
};

/// \brief Keeps the request bytes that a server's HTTP/1 connections hold within a budget, by flow
/// control.
///
/// h2o buffers each request until its body is complete, and keeps it until its response is sent.
/// While all of them exceed the budget, only those connections are read whose requests fit when
/// complete; the ones with the most bytes come first, as they are likely to end soonest. Small
/// requests are always read. At least one large request goes on, so that the held bytes stay below
/// the budget, one body and what arrives between two updates. Not counted: the old buffer of a body
/// while h2o copies it into a larger one, and HTTP/2.
class InputThrottle
{
public:
  InputThrottle(EventLoop& aLoop, h2o_globalconf_t& aConfiguration, h2o_context_t& aContext)
    : mLoop(aLoop)
    , mConfiguration(aConfiguration)
    , mContext(aContext)
  {
  }
  InputThrottle(const InputThrottle&) = delete;
  InputThrottle& operator=(const InputThrottle&) = delete;
  InputThrottle(InputThrottle&&) = delete;
  InputThrottle& operator=(InputThrottle&&) = delete;
  ~InputThrottle();

  void setLimits(const InputLimits& aLimits) { mLimits = aLimits; }
  /// \brief Sets the callback for the moments at which reading from connections stops, or has
  /// resumed on all: receives the bytes held and the number of connections that are not read.
  void setOnChange(std::function<void(std::size_t, std::size_t)> aOnChange)
  {
    mOnChange = std::move(aOnChange);
  }
  /// \brief Stops and resumes reading; to be called after the events of each loop iteration.
  void update();
  /// \brief \returns the bytes held at the last update that looked at them.
  std::size_t heldBytes() const { return mHeldBytes; }
  /// \brief \returns the number of connections that are not read.
  std::size_t pausedConnections() const { return mPaused.size(); }

private:
  /// A connection from which nothing is read for now.
  struct PausedConnection
  {
    InputThrottle* mThrottle;
    h2o_socket_t* mSocket;
    h2o_socket_cb mOnRead;
    decltype(h2o_socket_t::on_close) mOnClose;
  };

  /// Time between two looks at all connections.
  static constexpr Duration kPeriod = std::chrono::milliseconds(5);
  /// Connections that hold fewer bytes are always read.
  static constexpr std::size_t kMinPausedBytes = std::size_t{ 64 } * 1024;

  static int onRequest(h2o_req_t* aRequest, void* aThrottle);
  static void onPausedClosed(void* aConnection);

  void collect();
  void pause(h2o_socket_t* aSocket);
  void resume(h2o_socket_t* aSocket);

  EventLoop& mLoop;
  h2o_globalconf_t& mConfiguration;
  h2o_context_t& mContext;
  InputLimits mLimits;
  std::function<void(std::size_t, std::size_t)> mOnChange;
  std::unordered_map<h2o_socket_t*, std::unique_ptr<PausedConnection>> mPaused;
  /// By the last update: connections with an incomplete large request, and whether others hold a
  /// complete one.
  std::vector<h2o_socket_t*> mReading;
  bool mHasCompleteOnes = false;
  std::size_t mHeldBytes = 0;
  std::uint64_t mUpdatedAt = 0;
  /// Runs while connections are paused, as these cause no events.
  std::optional<TimerId> mTimer;
};

} // namespace bulrushrun
