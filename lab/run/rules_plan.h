// One plan of faults for every driver: what `rules` plays in virtual time and `processes` with real
// processes.
#pragma once

#include "lab/run/common.h"

namespace lab {

struct RulesPlan {
    WorldPlan world;
    FaultPlan faults;
    double seconds = 0, settles_s = 15;
    SessionId follow = 0;
};
// Every fault that the laboratory knows, at random, under a load that fills the links, with rushes.
RulesPlan rules_plan(std::uint64_t seed, int agents, double seconds, double every_s);

// Ten seconds with what every broken agent needs to show itself: a server frozen past the deadlines, two that
// die under load and come back cold, one that drains, and a rush.
RulesPlan short_plan(std::uint64_t seed);

// Plays the plan in virtual time; `fault` names a broken agent (lab/broken), empty: the sound one.
Result play_rules(const RulesPlan& plan, const std::string& fault = "");
// The same with real processes of a program and relays between the parties.
Result play_processes(const RulesPlan& plan, const std::string& program, const std::string& folder,
                      const std::string& fault = "");

}  // namespace lab
