#pragma once

#include <malloc.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>

#if defined(__SANITIZE_ADDRESS__)
// As in sanitizer/allocator_interface.h, which gcc's packages lack.
extern "C"
{
  int __sanitizer_install_malloc_and_free_hooks(void (*)(const volatile void*, std::size_t),
                                                void (*)(const volatile void*));
  std::size_t __sanitizer_get_allocated_size(const volatile void*);
}
#endif

namespace bulrushrun {

#if defined(__SANITIZE_ADDRESS__)

/// Peak of the heap in use since the construction. The resident memory would count the freed memory
/// that the sanitizer holds back.
class PeakMemory
{
public:
  PeakMemory()
  {
    static const int sInstalled = __sanitizer_install_malloc_and_free_hooks(onMalloc, onFree);
    (void)sInstalled;
    mStart = sUsed;
    sPeak = sUsed.load();
  }

  /// \returns the bytes by which the memory grew at its peak. Buffers reserve up to twice the bytes
  /// that they hold.
  std::size_t growth() const
  {
    constexpr std::int64_t kReservedPerUsed = 2;
    return static_cast<std::size_t>((sPeak - mStart) / kReservedPerUsed);
  }

private:
  static void onMalloc(const volatile void*, std::size_t aBytes)
  {
    const std::int64_t used = sUsed += static_cast<std::int64_t>(aBytes);
    std::int64_t peak = sPeak;
    while (used > peak && !sPeak.compare_exchange_weak(peak, used)) {
    }
  }
  static void onFree(const volatile void* aAddress)
  {
    if (aAddress != nullptr) {
      sUsed -= static_cast<std::int64_t>(__sanitizer_get_allocated_size(aAddress));
    }
  }

  static inline std::atomic<std::int64_t> sUsed = 0;
  static inline std::atomic<std::int64_t> sPeak = 0;
  std::int64_t mStart = 0;
};

#else

/// Peak of this process's resident memory since the construction.
class PeakMemory
{
public:
  PeakMemory()
  {
    // CI lets the allocator overwrite all memory that it hands out, which makes it resident.
    ::mallopt(M_PERTURB, 0);
    // Sets the recorded peak to the present value, see proc(5).
    std::ofstream{ "/proc/self/clear_refs" } << "5";
    mStart = statusBytes("VmRSS:");
  }

  /// \returns the bytes by which the memory grew at its peak.
  std::size_t growth() const
  {
    const std::size_t peak = statusBytes("VmHWM:");
    return peak > mStart ? peak - mStart : 0;
  }

private:
  static std::size_t statusBytes(const std::string& aName)
  {
    std::ifstream file{ "/proc/self/status" };
    std::string name;
    std::size_t kibibytes = 0;
    while (file >> name) {
      if (name == aName) {
        file >> kibibytes;
        break;
      }
    }
    return kibibytes * 1024;
  }

  std::size_t mStart = 0;
};

#endif

} // namespace bulrushrun
