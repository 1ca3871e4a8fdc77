// What this process holds of its heap.
#pragma once

#include <cstddef>

namespace lab {

// Allocated and not freed, of all threads; under the address sanitizer as that counts it.
std::size_t heap_bytes();

}  // namespace lab
