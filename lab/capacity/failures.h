// What a failure brings to the agents that are left: derived from the plan and from what a session costs a
// core.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/capacity/fit.h"
#include "lab/capacity/sizes.h"

namespace lab::capacity {

struct Scene {
    std::string what;
    double agents_lost = 0;            // at one instant
    double servers_lost = 0;           // part of all, with what played there
    std::string refused;               // what is refused, and how that is spread
    std::string control;               // what control traffic peaks at
    std::vector<std::string> figures;  // of `scripts/lab scale`, where it plays this scene
};

void from_json(const nlohmann::json& from, Scene& scene);

// Sessions count as placed without regard to zones: the worst case.
struct Burden {
    double ended = 0;                     // sessions that end
    double takers = 0;                    // agents that are left
    double set_ups_each = 0;              // that come again to each of them, at most
    double peak_per_s = 0;                // of these
    double ordinary_per_s = 0;            // beside them
    std::optional<Estimate> borne_per_s;  // by a core at that many connections; nullopt: not measured
    // Infinite where ordinary set-ups alone are too many; nullopt: not measured.
    std::optional<Estimate> back_after_s;
};

Burden burden_of(const Scene& scene, const Sizes& sizes, const Evidence& evidence);

}  // namespace lab::capacity
