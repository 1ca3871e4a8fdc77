// The program, broken in the way that JASPERSPREAD_BREAK names, or on a disk that loses what was not synced,
// by the seed that JASPERSPREAD_LOSSY gives, dying at the sync that JASPERSPREAD_DIES names: for the
// laboratory alone.
#include <cstdio>
#include <cstdlib>

#include "lab/broken/broken.h"
#include "lab/broken/lossy_disk.h"
#include "ops/program.h"

int main(int argc, char** argv) {
    const char* name = std::getenv("JASPERSPREAD_BREAK");
    if (const char* seed = std::getenv("JASPERSPREAD_LOSSY")) {
        lab::LossyDisk disk;
        disk.seed = std::strtoull(seed, nullptr, 10);
        if (const char* at = std::getenv("JASPERSPREAD_DIES")) disk.dies_at = std::strtoull(at, nullptr, 10);
        lab::use_lossy_disk(disk);
        if (name == nullptr) return jasperspread::ops::run_program(argc, argv);
    }
    const auto fault = lab::fault_named(name == nullptr ? "" : name);
    if (!fault) {
        std::fputs("JASPERSPREAD_BREAK: expected one of", stderr);
        for (const auto& one : lab::all_faults()) std::fprintf(stderr, " %s", one.name.data());
        std::fputs("\n", stderr);
        return 2;
    }
    lab::Broken broken(*fault);
    return jasperspread::ops::run_program(argc, argv, &broken);
}
