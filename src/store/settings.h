// What an operator sets for the store (docs/operate/power-loss.md).
#pragma once

#include <cstdint>
#include <string>

namespace jasperspread::store {

struct Settings {
    std::string folder;  // of this agent alone; empty: nothing is remembered
    std::string boot_file = "/proc/sys/kernel/random/boot_id";  // tells one boot of the machine from another
    std::uint32_t megabytes = 64;                               // the most that it takes on disk
    std::uint32_t records = 200000;                             // and the most sessions that it holds
    double lazy_s = 0.2;             // what nobody waits for is written so late at most
    double again_s = 1;              // after a write that failed the next is tried so much later
    std::string without = "refuse";  // paid set-ups while nothing can be written: refuse, or serve
    double stale_s = 30;             // a feed that is behind what is remembered is believed after so long
    double claim_s = 8;              // after a return: a session that nobody claims so long is released
};

}  // namespace jasperspread::store
