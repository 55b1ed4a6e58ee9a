#include "bulrushrun/net/Allocator.h"

#include <malloc.h>

namespace bulrushrun {

void returnLargeBuffersAtOnce()
{
  // Setting it switches its dynamic adjustment off.
  constexpr int kMmapThresholdBytes = 128 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

} // namespace bulrushrun
