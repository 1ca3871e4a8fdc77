// Plays trials of the soak with processes of the program, and says what was seen.
#pragma once

#include <string>

#include "lab/run/experiments.h"
#include "lab/soak/soak_plan.h"

namespace lab {

struct SoakProgram {
    std::string path;
    std::string folder;  // an empty one, for its files
    std::string broken;  // of the program that can be broken: how
};

// One trial. Its figures are the counts of issue "Soak"; a violation names what to run to see it again.
Result play_soak(const SoakPlan& plan, const SoakProgram& program);

}  // namespace lab
