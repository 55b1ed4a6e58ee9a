#pragma once

#include "bulrushrun/host/Http.h"

#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bulrushrun {

/// \brief Answer channel of one incoming request. Each transport brings its own.
///
/// Exactly one of `finish` and `abort` ends it; `abort` lets the caller see that the answer is not
/// whole. `write` returns the bytes that still wait for the caller to read. After the caller has
/// left, all calls do nothing. `mOnWritable` runs when waiting bytes have gone out, `mOnDisconnect`
/// once when the caller leaves before the answer ended.
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

/// \brief Sends a whole answer.
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
