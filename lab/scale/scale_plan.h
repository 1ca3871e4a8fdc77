// The plan of a scale run: how many agents of which kind, where they stand, and the faults in their order,
// drawn from a seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/model/world.h"
#include "lab/scale/placement.h"

namespace lab {

enum class SceneKind {
    Restarts,  // single agents are killed, and started again after a moment
    Rack,      // all agents of a rack lose power
    Zone,      // all agents of a zone and its feed do
    Regions,   // the regions can't hear each other, and the second is without the source of changes
    Feed,      // one zone's feed ends and starts again
};
std::string name_of(SceneKind kind);

struct Scene {
    SceneKind kind = SceneKind::Restarts;
    int zone = 0, rack = 0;
    std::vector<int> agents;  // who is killed
    double lasts_s = 0;       // until all is whole again
};

struct ScalePlan {
    std::uint64_t seed = 1;
    int real = 48, hollow = 402, hosts = 8;
    Placement placement;
    WorldPlan world;       // as the agents' configurations tell of it
    double starts_s = 14;  // of hails after a start
    double calm_s = 15;
    double agree_s = 20;  // longest wait until all agree, after the start and after each scene
    std::vector<Scene> scenes;

    int agents() const { return real + hollow; }
    bool is_real(int agent) const { return agent < real; }
    int host_of(int agent) const { return agent % hosts; }
    std::vector<int> seeds() const;  // agents whom all others know: hollow ones, none in the zone of another
};

struct ScaleSize {
    int real = 48, hollow = 402, hosts = 8, servers = 300;
};
// All five scenes, in an order and of sizes drawn from the seed.
ScalePlan draw_plan(std::uint64_t seed, const ScaleSize& size);

}  // namespace lab
