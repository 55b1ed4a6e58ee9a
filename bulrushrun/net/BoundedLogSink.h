#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <string>

namespace bulrushrun {

/// \brief Writes log lines to a file descriptor. Never blocks on the reader; the rate is limited
/// by token buckets.
///
/// Lines that are dropped because of a stopped reader or of the limit are counted, and the count
/// is written before the next line that passes.
class BoundedLogSink
{
public:
  /// \brief Limits of the rate, and sizes of the buckets: bursts of up to one second's worth pass.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBytesPerSecond = 128.0 * 1024;

  explicit BoundedLogSink(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// \brief Writes one line, or counts it as dropped.
  /// \param aLine  text with its line end; truncated to the size that a pipe accepts at once
  void write(std::string aLine, TimePoint aNow);

  /// \brief \returns the number of lines dropped so far.
  std::uint64_t droppedLines() const { return mDroppedLines; }

private:
  bool admit(std::size_t aBytes, TimePoint aNow);
  bool writeWithoutBlocking(const std::string& aLine) const;

  int mDescriptor;
  double mLineTokens = kLinesPerSecond;
  double mByteTokens = kBytesPerSecond;
  TimePoint mLastRefill;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mUnreportedDrops = 0;
};

} // namespace bulrushrun
