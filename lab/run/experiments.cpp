#include "experiments.h"

namespace lab {

const std::vector<Experiment>& experiments() {
    static const std::vector<Experiment> all = {
        {"handover", "hand-overs on sockets under squeezes, drains and freezes, with and without",
         run_handover},
        {"handover-fleet", "100 agents and 60 servers in virtual time, a quarter of the links squeezed",
         run_handover_fleet},
        {"rules", "random faults in virtual time while sessions are handed over", run_rules},
        {"processes", "the same with 2 to 40 processes of the program and relays between the parties",
         run_processes},
        {"short", "ten seconds that show each broken agent, in virtual time", run_short},
        {"short-processes", "the same with two processes of the program", run_short_processes},
        {"kills", "200 kills of single processes that remember and talk, with and without the memory",
         run_kills},
        {"durability", "what a commit costs by the size of its batch, and reading 100,000 sessions back",
         run_durability},
        {"power-loss", "power fails for buildings and for all, processes of the program, with and without",
         run_power_loss},
        {"power-loss-fleet",
         "300 agents and 200 servers in virtual time, each order in which service returns",
         run_power_loss_fleet},
        {"membership", "agents (300) that talk, in virtual time: messages, deaths found, false ones",
         run_membership},
        {"scale",
         "48 processes and 402 hollow agents: restarts, a rack, a zone, regions cut, a feed, changes",
         run_scale},
        {"soak", "short, dense trials of 3 to 8 processes, drawn from each seed, every rule judged",
         run_soak},
        {"demo", "ten seconds of service on sockets", run_demo},
        {"load", "what a set-up costs the agent, served and refused, on sockets", run_load},
        {"slopes", "what everything costs an agent, against connections, sessions, servers and agents",
         run_slopes},
        {"resting",
         "what a set-up, an accept and a close cost the agent beside 0 to 18,000 connections that rest",
         run_resting}};
    return all;
}

}  // namespace lab
