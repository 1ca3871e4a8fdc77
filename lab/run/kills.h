// Processes that remember and talk, killed one by one under load: some viewers stay and name their sessions
// again, the others come anew.
#pragma once

#include "lab/run/common.h"

namespace lab {

struct KillsPlan {
    std::uint64_t seed = 1;
    int agents = 8, kills = 200;
    double every_s = 0.5;
    bool remembers = true;
    bool all = false;  // power fails for all of them, each time
    // They die around their writes to disk, so many of them: between the record of an intent and its first
    // byte, and between an answer and its record.
    bool at_syncs = false;
};
Result play_kills(const KillsPlan& plan, const std::string& program, const std::string& folder);

}  // namespace lab
