#include "bulrushrun/net/BoundedLogSink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace bulrushrun {

namespace {

/// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kMaxLineBytes = 4096;

} // namespace

void BoundedLogSink::write(std::string aLine, TimePoint aNow)
{
  std::string line = std::move(aLine);
  if (mUnreportedDrops > 0) {
    line.insert(0, "lines left out=" + std::to_string(mUnreportedDrops) + "\n");
  }
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - 1);
    line += '\n';
  }
  if (admit(line.size(), aNow) && writeWithoutBlocking(line)) {
    mUnreportedDrops = 0;
  } else {
    ++mDroppedLines;
    ++mUnreportedDrops;
  }
}

bool BoundedLogSink::admit(std::size_t aBytes, TimePoint aNow)
{
  const double elapsed = std::min(toSeconds(aNow - mLastRefill), 1.0);
  mLastRefill = aNow;
  mLineTokens = std::min(mLineTokens + elapsed * kLinesPerSecond, kLinesPerSecond);
  mByteTokens = std::min(mByteTokens + elapsed * kBytesPerSecond, kBytesPerSecond);
  if (mLineTokens < 1 || mByteTokens < static_cast<double>(aBytes)) {
    return false;
  }
  mLineTokens -= 1;
  mByteTokens -= static_cast<double>(aBytes);
  return true;
}

bool BoundedLogSink::writeWithoutBlocking(const std::string& aLine) const
{
  pollfd writable{ mDescriptor, POLLOUT, 0 };
  if (::poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(mDescriptor, aLine.data(), aLine.size()) == static_cast<ssize_t>(aLine.size());
}

} // namespace bulrushrun
