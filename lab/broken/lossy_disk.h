// A disk under SQLite that loses what was not synced: a file layer of SQLite (VFS) that keeps writes to
// itself until the file is synced, and lets some through early, out of order or torn. A process that is
// killed then leaves what a power loss could have left.
#pragma once

#include <cstdint>

namespace lab {

struct LossyDisk {
    std::uint64_t seed = 1;
    double early = 0.2, torn = 0.1;  // parts of the writes
    bool lies = false;               // says that it has synced, and has not
    // The process dies at this sync: of an odd number before anything of it is on disk, of an even one once
    // all of it is, and nobody has been told. 0: at none.
    std::uint64_t dies_at = 0;
};
// For all files that SQLite opens in this process from here on.
void use_lossy_disk(const LossyDisk& disk);

}  // namespace lab
