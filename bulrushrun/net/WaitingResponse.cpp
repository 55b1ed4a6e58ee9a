#include "bulrushrun/net/WaitingResponse.h"

#include "bulrushrun/net/PipelinedConnection.h"

#include <utility>

namespace bulrushrun {

WaitingResponse::~WaitingResponse()
{
  mConnection.changeHeldBytes(mHeldBytes, 0);
}

void WaitingResponse::setHead(const ResponseHead& aHead)
{
  mHead = aHead;
  for (const Header& header : aHead.mHeaders) {
    mHeadBytes += sizeof(Header) + header.mName.size() + header.mValue.size();
  }
  setBodyBytes(0);
}

bool WaitingResponse::setBodyBytes(std::size_t aBytes)
{
  const std::size_t bytes = mHeadBytes + aBytes;
  mConnection.changeHeldBytes(std::exchange(mHeldBytes, bytes), bytes);
  return !mConnection.holdsTooMuch();
}

bool WaitingResponse::isDisconnected() const
{
  return mConnection.isClosedByCaller();
}

} // namespace bulrushrun
