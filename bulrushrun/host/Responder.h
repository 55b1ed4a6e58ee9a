#pragma once

#include "bulrushrun/host/Http.h"

#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Channel for the response to one incoming request. Each transport has its own type.
///
/// Exactly one of `finish` and `abort` ends the response; with `abort`, the caller can detect that
/// the response is truncated. `write` returns the number of bytes still buffered because the caller
/// has not read them yet. After the caller has disconnected, all calls do nothing. `mOnWritable`
/// runs when buffered bytes have been sent; `mOnDisconnect` runs once if the caller disconnects
/// before the response ended.
template<class R>
concept Responder = requires(R aResponder, const ResponseHead& aHead, std::string_view aBytes)
{
  aResponder.start(aHead);
  {
    aResponder.write(aBytes)
    } -> std::same_as<std::size_t>;
  aResponder.finish();
  aResponder.abort();
  {
    aResponder.isDisconnected()
    } -> std::same_as<bool>;
  aResponder.mOnWritable = std::function<void()>{};
  aResponder.mOnDisconnect = std::function<void()>{};
};

/// \brief Sends a complete response.
template<Responder R>
void respond(R& aResponder, const HttpResponse& aResponse)
{
  ResponseHead head = aResponse.mHead;
  head.mLength = aResponse.mBody.size();
  aResponder.start(head);
  if (!aResponse.mBody.empty()) {
    aResponder.write(aResponse.mBody);
  }
  aResponder.finish();
}

} // namespace bulrushrun
