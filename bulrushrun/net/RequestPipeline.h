#pragma once

#include "bulrushrun/host.h"
#include "bulrushrun/net/HttpResponder.h"
#include "bulrushrun/net/PipelineAccount.h"
#include "bulrushrun/net/PipelinedConnection.h"

#include <h2o.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bulrushrun {

/// \brief Starts requests that callers send on a connection before the response to an earlier one.
///
/// Applies to HTTP/1. Responses are sent in the order of the requests, by h2o, which reads each
/// request again when its turn comes. \sa PipelinedConnection
class RequestPipeline
{
public:
  using MayRunAhead = std::function<bool(const HttpRequest&)>;
  using Start = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

  /// \param aMayRunAhead  decides on a request without a body; empty: nothing is read ahead
  RequestPipeline(MayRunAhead aMayRunAhead, Start aStart);
  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;
  RequestPipeline(RequestPipeline&&) = delete;
  RequestPipeline& operator=(RequestPipeline&&) = delete;
  /// \brief Forgets the connections; no callback runs.
  ~RequestPipeline();

  /// \brief Sets the limit of the bytes that all connections hold.
  void setProcessLimit(std::size_t aBytes);
  /// \brief Sets the callback that logs events.
  void setOnEvent(std::function<void(const Event&, const std::string&)> aOnEvent)
  {
    mOnEvent = std::move(aOnEvent);
  }

  /// \brief Takes an HTTP/1 request that h2o has read, before any handler sees it.
  PipelineDelivery deliver(h2o_req_t* aRequest);
  /// \brief Looks for requests behind one that h2o has read, until that is over.
  void watch(h2o_req_t* aRequest);
  /// \brief Appends the metrics in the text format of Prometheus.
  void renderMetrics(std::string& aText) const;

  // For PipelinedConnection.
  PipelineAccount& account() { return mAccount; }
  const PipelineAccount& account() const { return mAccount; }
  bool mayRunAhead(const HttpRequest& aRequest) const { return mMayRunAhead(aRequest); }
  void start(HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder);
  void remove(h2o_socket_t* aSocket);
  void log(const Event& aEvent, const std::string& aText) const;

private:
  MayRunAhead mMayRunAhead;
  Start mStart;
  std::function<void(const Event&, const std::string&)> mOnEvent;
  PipelineAccount mAccount;
  std::unordered_map<h2o_socket_t*, std::unique_ptr<PipelinedConnection>> mConnections;
};

} // namespace bulrushrun
