#include "heap.h"

#if defined(__SANITIZE_ADDRESS__)
// Of the sanitizer's library; its header does not come with every compiler.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
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
