#pragma once

#include "bulrushrun/net.h"

#include <http_parser.h>

#include <functional>
#include <string>
#include <vector>

namespace bulrushrun::soak {

/// \brief A caller that sends several GET requests on one connection at once, and takes the
/// responses in the order of the requests.
class PipelinedBurst
{
public:
  /// Receives the position of a request and its response.
  using OnResponse = std::function<void(std::size_t, const ResponseHead&, const std::string&)>;

  /// \param aOnEnd  runs once, with the number of responses, when all have arrived or the
  /// connection has ended; the object may be destroyed in a later iteration of the loop
  PipelinedBurst(EventLoop& aLoop,
                 const Endpoint& aEndpoint,
                 const std::vector<HttpRequest>& aRequests,
                 OnResponse aOnResponse,
                 std::function<void(std::size_t)> aOnEnd);
  PipelinedBurst(const PipelinedBurst&) = delete;
  PipelinedBurst& operator=(const PipelinedBurst&) = delete;
  PipelinedBurst(PipelinedBurst&&) = delete;
  PipelinedBurst& operator=(PipelinedBurst&&) = delete;
  ~PipelinedBurst() { close(); }

  /// \brief Closes the connection; no callback follows.
  void close();

private:
  static void onConnect(h2o_socket_t* aSocket, const char* aError);
  static void onWritten(h2o_socket_t* aSocket, const char* aError);
  static void onRead(h2o_socket_t* aSocket, const char* aError);
  static int onField(http_parser* aParser, const char* aBytes, std::size_t aLength);
  static int onValue(http_parser* aParser, const char* aBytes, std::size_t aLength);
  static int onBody(http_parser* aParser, const char* aBytes, std::size_t aLength);
  static int onComplete(http_parser* aParser);

  void end();

  h2o_socket_t* mSocket = nullptr;
  std::string mBytes;
  std::size_t mRequests;
  OnResponse mOnResponse;
  std::function<void(std::size_t)> mOnEnd;
  http_parser mParser{};
  http_parser_settings mParserSettings{};
  ResponseHead mHead;
  bool mReadingValue = false;
  std::string mBody;
  std::size_t mResponses = 0;
};

} // namespace bulrushrun::soak
