#include "lab/scale/scale_plan.h"

#include <algorithm>
#include <random>

namespace lab {
namespace {

constexpr double restarted_least = 0.1, restarted_most = 0.15;  // of the agents

struct Draw {
    std::mt19937_64 random;
    double between(double least, double most) {
        return least + (most - least) * static_cast<double>(random() >> 11) * 0x1p-53;
    }
    int below(int most) { return static_cast<int>(random() % static_cast<std::uint64_t>(most)); }
};

template <typename Which>
std::vector<int> agents_where(const ScalePlan& plan, const Which& which) {
    std::vector<int> found;
    for (int agent = 0; agent < plan.agents(); ++agent) {
        if (which(agent)) found.push_back(agent);
    }
    return found;
}

Scene draw_scene(const ScalePlan& plan, SceneKind kind, Draw& draw) {
    const Placement& placement = plan.placement;
    Scene scene;
    scene.kind = kind;
    scene.zone = draw.below(placement.zones);
    scene.rack = draw.below(placement.racks_per_zone);
    const auto in_zone = [&](int agent) { return placement.zone_of(agent) == scene.zone; };
    switch (kind) {
        case SceneKind::Restarts: {
            scene.agents = agents_where(plan, [](int) { return true; });
            std::shuffle(scene.agents.begin(), scene.agents.end(), draw.random);
            const double part = draw.between(restarted_least, restarted_most);
            scene.agents.resize(static_cast<std::size_t>(part * plan.agents() + 1));
            scene.lasts_s = draw.between(8, 11);
            break;
        }
        case SceneKind::Rack:
            scene.agents = agents_where(
                plan, [&](int agent) { return in_zone(agent) && placement.rack_of(agent) == scene.rack; });
            scene.lasts_s = draw.between(4, 7);
            break;
        case SceneKind::Zone:
            scene.agents = agents_where(plan, in_zone);
            scene.lasts_s = draw.between(6, 18);  // on both sides of the time in which a death is found
            break;
        case SceneKind::Regions:
            scene.lasts_s = draw.between(8, 20);
            break;
        case SceneKind::Feed:
            scene.lasts_s = draw.between(2, 4);
            break;
    }
    return scene;
}

}  // namespace

std::string name_of(SceneKind kind) {
    switch (kind) {
        case SceneKind::Restarts:
            return "restarts";
        case SceneKind::Rack:
            return "rack";
        case SceneKind::Zone:
            return "zone";
        case SceneKind::Regions:
            return "regions";
        case SceneKind::Feed:
            return "feed";
    }
    return "";
}

std::vector<int> ScalePlan::seeds() const {
    constexpr std::size_t seeds_named = 3;
    std::vector<int> found;
    for (int agent = real; agent < agents() && found.size() < seeds_named; ++agent) {
        const bool every_other = placement.zone_of(agent) % 2 == 0;
        const bool fresh_zone = std::none_of(found.begin(), found.end(), [&](int other) {
            return placement.zone_of(other) == placement.zone_of(agent);
        });
        if (every_other && fresh_zone) found.push_back(agent);
    }
    return found;
}

ScalePlan draw_plan(std::uint64_t seed, const ScaleSize& size) {
    ScalePlan plan;
    plan.seed = seed;
    plan.real = size.real;
    plan.hollow = size.hollow;
    plan.hosts = size.hosts;
    plan.world = even_plan(seed, plan.agents(), size.servers, 6000);
    plan.world.zones = plan.placement.zones;
    plan.world.racks = plan.placement.zones * plan.placement.racks_per_zone;
    plan.world.agents_talk = plan.world.agents_recover = true;
    plan.world.recovery.order = "fleet";
    Draw draw{std::mt19937_64(seed * 6364136223846793005U + 1442695040888963407U)};
    for (const SceneKind kind :
         {SceneKind::Restarts, SceneKind::Rack, SceneKind::Zone, SceneKind::Regions, SceneKind::Feed})
        plan.scenes.push_back(draw_scene(plan, kind, draw));
    std::shuffle(plan.scenes.begin(), plan.scenes.end(), draw.random);
    return plan;
}

}  // namespace lab
