#include "bulrushrun/net/RequestPipeline.h"

#include "bulrushrun/net/H2oRequest.h"

#include <optional>
#include <utility>

namespace bulrushrun {

RequestPipeline::RequestPipeline(MayRunAhead aMayRunAhead, Start aStart)
  : mMayRunAhead(std::move(aMayRunAhead))
  , mStart(std::move(aStart))
{
  mAccount.setOnChange([this](bool aReached) {
    log(aReached ? events::kPipelineLimitReached : events::kPipelineLimitLeft,
        "held_bytes=" + std::to_string(mAccount.heldBytes()) +
          " limit=" + std::to_string(mAccount.limits().mProcessBytes));
  });
}

RequestPipeline::~RequestPipeline()
{
  mOnEvent = nullptr;
  for (const auto& [socket, connection] : mConnections) {
    connection->removeCallbacks();
  }
  mConnections.clear();
}

void RequestPipeline::setProcessLimit(std::size_t aBytes)
{
  PipelineLimits limits = mAccount.limits();
  limits.mProcessBytes = aBytes;
  mAccount.setLimits(limits);
}

PipelineDelivery RequestPipeline::deliver(h2o_req_t* aRequest)
{
  PipelinedConnection* connection =
    mMayRunAhead ? PipelinedConnection::find(socketOf(*aRequest)) : nullptr;
  return connection == nullptr ? PipelineDelivery::New : connection->deliver(aRequest);
}

void RequestPipeline::watch(h2o_req_t* aRequest)
{
  const std::optional<std::size_t> size = mMayRunAhead ? bufferedSize(*aRequest) : std::nullopt;
  h2o_socket_t* socket = socketOf(*aRequest);
  // The connection ends after this request and has no state yet, so there is nothing to watch.
  const bool isFirstAndLast =
    aRequest->http1_is_persistent == 0 && PipelinedConnection::find(socket) == nullptr;
  if (!size || isFirstAndLast) {
    return;
  }
  std::unique_ptr<PipelinedConnection>& connection = mConnections[socket];
  if (connection == nullptr) {
    connection = std::make_unique<PipelinedConnection>(*this, socket);
  }
  connection->watch(aRequest, *size);
}

void RequestPipeline::start(HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder)
{
  mStart(std::move(aRequest), std::move(aResponder));
}

void RequestPipeline::remove(h2o_socket_t* aSocket)
{
  const auto found = mConnections.find(aSocket);
  if (found != mConnections.end()) {
    // Its destructor runs callbacks of handlers, which may use other connections.
    const std::unique_ptr<PipelinedConnection> removed = std::move(found->second);
    mConnections.erase(found);
  }
}

void RequestPipeline::log(const Event& aEvent, const std::string& aText) const
{
  if (mOnEvent) {
    mOnEvent(aEvent, aText);
  }
}

void RequestPipeline::renderMetrics(std::string& aText) const
{
  const auto metric =
    [&aText](const char* aName, const char* aHelp, const char* aType, std::uint64_t aValue) {
      const std::string name = std::string("bulrushrun_pipelined_") + aName;
      aText += "# HELP " + name + " " + aHelp + "\n# TYPE " + name + " " + aType + "\n" + name +
               " " + std::to_string(aValue) + "\n";
    };
  const PipelineCounters& counters = mAccount.counters();
  metric("read_ahead_total",
         "Requests read while an earlier one of their connection was in progress.",
         "counter",
         counters.mReadAhead);
  metric("started_ahead_total",
         "Requests started before an earlier one of their connection was answered.",
         "counter",
         counters.mStartedAhead);
  metric("abandoned_total",
         "Requests started ahead whose connection ended before their turn.",
         "counter",
         counters.mAbandoned);
  metric("mismatched_total",
         "Connections closed because a request was read differently than it had been started.",
         "counter",
         counters.mMismatched);
  metric("held_bytes",
         "Bytes of requests started ahead and of responses that wait for their turn.",
         "gauge",
         mAccount.heldBytes());
  metric("connections_at_limit",
         "Connections that are not read ahead because of a limit.",
         "gauge",
         counters.mConnectionsAtLimit);
}

} // namespace bulrushrun
