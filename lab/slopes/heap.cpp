#include "heap.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/allocator_interface.h>
#else
#include <malloc.h>
#endif

namespace lab {

std::size_t heap_bytes() {
#if defined(__SANITIZE_ADDRESS__)
    return __sanitizer_get_current_allocated_bytes();
#else
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
#endif
}

}  // namespace lab
