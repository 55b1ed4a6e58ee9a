#pragma once

namespace bulrushrun {

/// \brief Makes the allocator return large buffers to the system as soon as they are freed.
///
/// By default glibc keeps freed memory of up to 64 MiB once such buffers were used (mallopt(3)).
void returnLargeBuffersAtOnce();

} // namespace bulrushrun
