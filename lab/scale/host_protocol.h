// What the experiment and the processes that hold its hollow agents say to each other: one JSON text a line.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lab/scale/counting_kernel.h"

namespace lab {

// ---- From the experiment ----

struct StartAgent {
    int agent = 0, zone = 0;
    std::string folder;    // with config.json and operator.yaml, as the program reads them
    double machine_s = 0;  // how long its machine has been up
};
struct KillAgent {
    int agent = 0;
};
struct BlockZones {  // agents of `zone` receive nothing from these
    int zone = 0;
    CountingKernel::Zones senders = 0;
};
using Command = std::variant<StartAgent, KillAgent, BlockZones>;

// ---- From a host ----

struct AgentSample {
    int agent = 0;
    double cpu_s = 0;           // of all its lives
    Traffic traffic;            // of all its lives
    std::uint64_t present = 0;  // members that it takes for there, itself too; 0: it does not run
};

struct AgentEvent {
    enum class What { Talks, ListInForce, Died };
    What what = What::Talks;
    int agent = 0;
    double at = 0;             // Unix time, s
    std::uint64_t number = 0;  // of the list's change
    std::string name;          // of who died; of Talks the address
    std::uint64_t token = 0;   // of the life that died, or that talks; 0: not known
};

struct Report {
    int host = 0;
    double at = 0;
    std::vector<AgentSample> samples;
    std::vector<AgentEvent> events;
    std::vector<CountingKernel::FromReal>
        from_reals;  // by the number of the real process, of all agents here
};

std::string encode(const Command& command);
std::string encode(const Report& report);
// Throw nlohmann::json::exception for a line that is neither.
Command decode_command(std::string_view line);
Report decode_report(std::string_view line);

}  // namespace lab
