#include "bulrushrun/net/BoundedLogSink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace bulrushrun {

namespace {

/// A pipe that is writable takes this much without blocking (PIPE_BUF).
constexpr std::size_t kMaxLineBytes = 4096;

} // namespace

void BoundedLogSink::write(std::string aLine, TimePoint aNow)
{
  std::string line = std::move(aLine);
  if (mUnsaid > 0) {
    line.insert(0, "lines left out=" + std::to_string(mUnsaid) + "\n");
  }
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - 1);
    line += '\n';
  }
  if (admit(line.size(), aNow) && writeNow(line)) {
    mUnsaid = 0;
  } else {
    ++mLeftOut;
    ++mUnsaid;
  }
}

bool BoundedLogSink::admit(std::size_t aBytes, TimePoint aNow)
{
  const double passed = std::min(toSeconds(aNow - mRefilledAt), 1.0);
  mRefilledAt = aNow;
  mLines = std::min(mLines + passed * kLinesPerSecond, kLinesPerSecond);
  mBytes = std::min(mBytes + passed * kBytesPerSecond, kBytesPerSecond);
  if (mLines < 1 || mBytes < static_cast<double>(aBytes)) {
    return false;
  }
  mLines -= 1;
  mBytes -= static_cast<double>(aBytes);
  return true;
}

bool BoundedLogSink::writeNow(const std::string& aLine) const
{
  pollfd writable{ mDescriptor, POLLOUT, 0 };
  if (::poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(mDescriptor, aLine.data(), aLine.size()) == static_cast<ssize_t>(aLine.size());
}

} // namespace bulrushrun
