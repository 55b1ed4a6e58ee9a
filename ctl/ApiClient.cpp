#include "ctl/ApiClient.h"

namespace bulrushrun {

namespace {

constexpr Duration kResponseTimeout = std::chrono::seconds(15);

} // namespace

std::optional<HttpResponse> ApiClient::call(HttpRequest aRequest)
{
  EventLoop loop;
  HttpClient client{ loop };
  HttpResponse response;
  bool complete = false;
  mReason = "no response within " + std::to_string(toMillis(kResponseTimeout)) + " ms";
  ExchangeListener listener;
  listener.mOnHead = [&](const ResponseHead& aHead) { response.mHead = aHead; };
  listener.mOnBody = [&](std::string_view aBytes) {
    response.mBody.append(aBytes);
    return true;
  };
  listener.mOnEnd = [&](ExchangeResult aEnd, const std::string& aReason) {
    complete = aEnd == ExchangeResult::Complete;
    mReason = aReason;
    loop.stop();
  };
  setHeader(aRequest.mHeaders, "Authorization", "Bearer " + mToken);
  client.start(mAdmin, aRequest, ConnectionUse::Pooled, std::move(listener));
  loop.after(kResponseTimeout, [&] { loop.stop(); });
  loop.run();
  return complete ? std::optional{ response } : std::nullopt;
}

} // namespace bulrushrun
