// What an operator sets for the talk among agents (docs/design/fleet.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jasperspread::fleet {

struct Settings {
    std::string key_file;            // names the file that holds the key; empty: agents don't talk
    std::string listen;              // address for datagrams, "10.0.0.4:2910"
    std::string advertise;           // where others reach it, if that is not `listen`
    std::vector<std::string> seeds;  // addresses of some agents, of which one should be there
    double probe_every_s = 1.0;      // one member is probed in each period
    double answer_s = 0.3;           // no answer so long after a probe: others are asked to probe it
    std::uint32_t helpers = 3;       // how many are asked
    double suspect_s = 4.0;          // a suspicion lasts so long at least, and twice that at most
    double sync_s = 10.0;            // one that is dead, or a seed, is asked to join so often
    double forget_s = 600.0;         // the dead are remembered for so long
};

}  // namespace jasperspread::fleet
