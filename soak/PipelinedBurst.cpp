#include "soak/PipelinedBurst.h"

#include <utility>

namespace bulrushrun::soak {

PipelinedBurst::PipelinedBurst(EventLoop& aLoop,
                               const Endpoint& aEndpoint,
                               const std::vector<HttpRequest>& aRequests,
                               OnResponse aOnResponse,
                               std::function<void(std::size_t)> aOnEnd)
  : mRequests(aRequests.size())
  , mOnResponse(std::move(aOnResponse))
  , mOnEnd(std::move(aOnEnd))
{
  for (const HttpRequest& request : aRequests) {
    mBytes += "GET " + request.mPath + " HTTP/1.1\r\nHost: " + request.mAuthority + "\r\n";
    for (const Header& header : request.mHeaders) {
      mBytes += header.mName + ": " + header.mValue + "\r\n";
    }
    mBytes += "\r\n";
  }
  http_parser_settings_init(&mParserSettings);
  mParserSettings.on_header_field = onField;
  mParserSettings.on_header_value = onValue;
  mParserSettings.on_body = onBody;
  mParserSettings.on_message_complete = onComplete;
  http_parser_init(&mParser, HTTP_RESPONSE);
  mParser.data = this;
  sockaddr_in address = socketAddress(aEndpoint);
  mSocket = h2o_socket_connect(
    aLoop.raw(), reinterpret_cast<sockaddr*>(&address), sizeof(address), onConnect);
  if (mSocket != nullptr) {
    mSocket->data = this;
  } else {
    aLoop.after(Duration{ 0 }, [this] { end(); });
  }
}

void PipelinedBurst::close()
{
  if (mSocket != nullptr) {
    mSocket->data = nullptr;
    h2o_socket_close(std::exchange(mSocket, nullptr));
  }
  mOnEnd = nullptr;
}

void PipelinedBurst::end()
{
  const std::function<void(std::size_t)> onEnd = mOnEnd;
  close();
  if (onEnd) {
    onEnd(mResponses);
  }
}

void PipelinedBurst::onConnect(h2o_socket_t* aSocket, const char* aError)
{
  PipelinedBurst* burst = static_cast<PipelinedBurst*>(aSocket->data);
  if (burst == nullptr) {
    return;
  }
  if (aError != nullptr) {
    burst->end();
    return;
  }
  h2o_socket_read_start(aSocket, onRead);
  h2o_iovec_t bytes = h2o_iovec_init(burst->mBytes.data(), burst->mBytes.size());
  h2o_socket_write(aSocket, &bytes, 1, onWritten);
}

/// An error shows when reading.
void PipelinedBurst::onWritten(h2o_socket_t*, const char*) {}

void PipelinedBurst::onRead(h2o_socket_t* aSocket, const char* aError)
{
  PipelinedBurst* burst = static_cast<PipelinedBurst*>(aSocket->data);
  if (burst == nullptr) {
    return;
  }
  const std::size_t size = aSocket->input->size;
  const std::size_t consumed =
    http_parser_execute(&burst->mParser, &burst->mParserSettings, aSocket->input->bytes, size);
  h2o_buffer_consume(&aSocket->input, size);
  if (aError != nullptr || consumed != size || burst->mResponses == burst->mRequests) {
    burst->end();
  }
}

int PipelinedBurst::onField(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  PipelinedBurst* burst = static_cast<PipelinedBurst*>(aParser->data);
  Headers& headers = burst->mHead.mHeaders;
  if (headers.empty() || std::exchange(burst->mReadingValue, false)) {
    headers.emplace_back();
  }
  headers.back().mName.append(aBytes, aLength);
  return 0;
}

int PipelinedBurst::onValue(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  PipelinedBurst* burst = static_cast<PipelinedBurst*>(aParser->data);
  burst->mReadingValue = true;
  burst->mHead.mHeaders.back().mValue.append(aBytes, aLength);
  return 0;
}

int PipelinedBurst::onBody(http_parser* aParser, const char* aBytes, std::size_t aLength)
{
  static_cast<PipelinedBurst*>(aParser->data)->mBody.append(aBytes, aLength);
  return 0;
}

int PipelinedBurst::onComplete(http_parser* aParser)
{
  PipelinedBurst* burst = static_cast<PipelinedBurst*>(aParser->data);
  ResponseHead head = std::exchange(burst->mHead, {});
  head.mStatus = static_cast<int>(aParser->status_code);
  burst->mReadingValue = false;
  if (burst->mResponses < burst->mRequests) {
    burst->mOnResponse(burst->mResponses++, head, std::exchange(burst->mBody, {}));
  }
  return 0;
}

} // namespace bulrushrun::soak
