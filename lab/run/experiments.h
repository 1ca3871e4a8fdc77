// The experiments of the laboratory. Each gives its figures and what the ledger found broken.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/slopes/slope.h"

namespace lab {

struct Ask {
    std::uint64_t seed = 1;
    std::string program;  // the agent, for experiments on sockets
    std::string folder;   // for its files
    std::string plot;     // data for a picture goes there, where the experiment has one
    int agents = 0;       // where the experiment lets that be chosen; 0: as it usually has
    int agents_or(int usual) const { return agents > 0 ? agents : usual; }
    std::string broken;  // the name of a broken agent that takes the place of the sound one
    std::string broken_program;
    std::string hollow_program;          // a process of hollow agents (docs/operate/scale.md)
    std::string order;                   // of return after a power loss: only this one
    std::string links;                   // of membership: only "calm" or "lossy" ones
    std::uint64_t follow = 0;            // the session of which all is printed
    std::string seeds;                   // of the soak: from and to, as in 1-50; empty: one
    std::string family;                  // of the soak: this one alone
    std::string plan;                    // of the soak: a file with the faults, in place of drawn ones
    std::string evidence;                // of the soak: trials that break a rule leave all they have there
    bool cut_down = false;               // a failing plan of faults is cut down to a smaller one
    std::string only;                    // parts of an experiment that has some, with commas; empty: all
    std::optional<std::size_t> resting;  // how many connections rest: only so many
};

struct Result {
    std::vector<std::string> violations;
    std::vector<std::pair<std::string, double>> figures;  // in the order in which they are told
    std::vector<std::string> notes;                       // for the reader; no figure and no violation
    std::vector<Slope> slopes;                            // where the experiment measures some
};

struct Experiment {
    const char* name;
    const char* meaning;
    Result (*run)(const Ask&);
};
const std::vector<Experiment>& experiments();

Result run_handover(const Ask& ask);          // sockets
Result run_handover_fleet(const Ask& ask);    // 100 agents and 60 servers in virtual time
Result run_rules(const Ask& ask);             // random faults in virtual time
Result run_processes(const Ask& ask);         // the same with processes of the program
Result run_short(const Ask& ask);             // ten seconds that show each broken agent, in virtual time
Result run_short_processes(const Ask& ask);   // and with processes
Result run_kills(const Ask& ask);             // processes that remember, killed one by one
Result run_durability(const Ask& ask);        // the store alone
Result run_power_loss(const Ask& ask);        // processes: buildings and all lose power
Result run_power_loss_fleet(const Ask& ask);  // 300 agents in virtual time, each order of return
Result run_membership(const Ask& ask);        // agents that talk, in virtual time
Result run_load(const Ask& ask);              // sockets: what a set-up costs the agent
Result run_resting(const Ask& ask);           // sockets: what it costs beside connections that rest
Result run_slopes(const Ask& ask);  // what everything costs, against the sizes that it may depend on

Result run_scale(const Ask& ask);  // processes and hollow agents: 450 of both

Result run_soak(const Ask& ask);  // short, dense trials of a handful of processes

Result run_demo(const Ask& ask);  // sockets: ten seconds of service

}  // namespace lab
