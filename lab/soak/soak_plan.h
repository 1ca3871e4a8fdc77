// Trials of the soak: a deployment and a plan of faults, drawn from a seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/run/rules_plan.h"

namespace lab {

enum class Family : std::uint8_t { Shutdowns, Discovery, Clients, Network, Bytes };
constexpr int families = 5;

const char* name_of(Family family);
// Throws std::runtime_error where there is none of this name.
Family family_named(const std::string& name);

struct SoakPlan {
    std::vector<Family> played;
    bool crowd = false;
    RulesPlan trial;
};

// The families of a seed: each alone, each pair and each three at once within 25 seeds in a row.
std::vector<Family> families_of(std::uint64_t seed);
SoakPlan soak_plan(std::uint64_t seed, const std::vector<Family>& played);
std::string to_text(const SoakPlan& plan);

}  // namespace lab
