// Plays the scenes of a scale run one after the other, each with changes told before, during and after.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/scale_world.h"

namespace lab {

struct SceneOutcome {
    std::string name;
    double began = 0, whole = 0, ended = 0;  // Unix times: the fault, its end, and when all agreed
    bool agreed = false;                     // all on who is there, and each by the latest change
    std::vector<std::string> left_open;      // where they did not: who, and what
    std::size_t killed = 0;                  // agents
    DeathJudge::Counts deaths;               // reported from `began` to `ended`
    double agree_s() const { return ended - whole; }
};

struct ScaleOutcome {
    double began = 0, baseline = 0, ended = 0;  // the start; the end of what follows a start; the end
    SceneOutcome start, calm;
    std::vector<SceneOutcome> scenes;
    std::vector<AgentSample> at_baseline;                    // by agent
    std::vector<CountingKernel::FromReal> sent_at_baseline;  // by real process
};

ScaleOutcome play_scale(ScaleWorld& world);

}  // namespace lab
