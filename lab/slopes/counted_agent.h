// The agent as a process whose system calls are counted in memory that its parent reads.
#pragma once

#include <memory>
#include <string>

#include "lab/slopes/counting_kernel.h"

namespace lab {

// Counts in a file that several processes map. The one that makes it creates the file.
class SharedCounts {
public:
    explicit SharedCounts(const std::string& file);  // throws std::runtime_error
    ~SharedCounts();
    SharedCounts(const SharedCounts&) = delete;
    SharedCounts& operator=(const SharedCounts&) = delete;

    KernelCounts& counts() { return *counts_; }

private:
    KernelCounts* counts_ = nullptr;
};

// Serves as the program does with this configuration, on a counting kernel, until it is killed; gives the
// process's status.
int serve_counted(const std::string& config_file, const std::string& counts_file);

}  // namespace lab
