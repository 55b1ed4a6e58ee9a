#pragma once

#include "bulrushrun/core.h"

#include <cstdint>
#include <string>

namespace bulrushrun {

/// \brief Writes log lines to a descriptor without ever waiting for its reader, at a bounded rate.
///
/// What a stopped reader or the bound left out is counted and said with the next line that goes
/// out.
class BoundedLogSink
{
public:
  /// \brief Lines and bytes a second that are written at most; bursts of one second's worth pass.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBytesPerSecond = 128.0 * 1024;

  explicit BoundedLogSink(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// \brief Writes one line, or counts it as left out.
  /// \param aLine  text with its line end; longer than what a pipe takes at once is cut
  void write(std::string aLine, TimePoint aNow);

  /// \brief \returns the lines left out so far.
  std::uint64_t droppedLines() const { return mLeftOut; }

private:
  bool admit(std::size_t aBytes, TimePoint aNow);
  bool writeNow(const std::string& aLine) const;

  int mDescriptor;
  double mLines = kLinesPerSecond;
  double mBytes = kBytesPerSecond;
  TimePoint mRefilledAt;
  std::uint64_t mLeftOut = 0;
  std::uint64_t mUnsaid = 0;
};

} // namespace bulrushrun
