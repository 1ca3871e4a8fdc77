#include "lab/soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace lab {
namespace {

using enum Trouble;

constexpr std::array<const char*, families> names = {"shutdowns", "discovery", "clients", "network", "bytes"};
constexpr std::uint64_t crowd_every = 4;  // seeds

std::vector<Trouble> troubles_of(Family family) {
    switch (family) {
        case Family::Shutdowns:
            return {EndAndKillAgent, EndAndKillAgent, EndAndKillAgent, SignalSeries,
                    FreezeServer,    KillServer,      ReplaceServer,   StopAgent};
        case Family::Discovery:
            return {SilenceFeed, FeedDown, FeedDown, DrainServer, DrainServer, SignalSeries, ReplaceServer};
        case Family::Clients:
            return {BadClients, BadClients, SpoilAnswers, SpoilAnswers, FreezeServer};
        case Family::Network:
            return {CutLink,    CutOneWay, ResetLinks,   ResetLinks,        FreezeServer,
                    KillServer, KillAgent, HoldReleases, DeadenConnections, GarbleLines};
        case Family::Bytes:
            return {Pieces, Pieces, ResetLinks, EndAgent};
    }
    return {};
}

WorldPlan deployment(std::uint64_t seed, Uniform& draw) {
    const auto between = [&](double least, double most) { return least + (most - least) * draw(); };
    WorldPlan plan;
    plan.seed = seed;
    plan.agents = 3 + draw.below(6);
    plan.spares = 2;
    plan.servers = plan.cells = 2 + draw.below(23) + plan.spares;
    plan.copies = std::max(2, plan.cells / 2);
    plan.zones = 1 + draw.below(2);
    plan.racks = 1 + draw.below(2);
    constexpr std::array<std::size_t, 4> descriptors = {64, 96, 128, 256};
    plan.agent_descriptors = descriptors[static_cast<std::size_t>(draw.below(4))];
    plan.places = 20 + draw.below(80);
    plan.link_kb = between(4000, 20000);
    plan.life_s = between(1.5, 6);
    plan.told_every = between(0.7, 2);
    plan.told_late = between(0.2, 0.8);
    plan.paid_part = between(0.2, 0.7);
    for (ClassPlan& cls : plan.classes) {
        cls.deadline = between(0.3, 3);
        cls.aim = cls.deadline * between(0.2, 0.8);
    }
    plan.titles = 5 + draw.below(40);
    plan.servers_hand_over = false;
    plan.agents_log_all = true;
    plan.cold.by_chance = true;
    constexpr double most_arrivals = 60;  // a second: the laboratory is one process
    plan.arrivals_per_s = std::min(most_arrivals, arrivals_for(plan, between(0.4, 1.2)));
    plan.slack_s = 0.25;  // processes share the machine with whatever else runs on it
    return plan;
}

double lasts(Trouble what, Uniform& draw) {
    constexpr double long_cuts = 0.4;  // part of all: longer than a viewer may wait for word of an end
    if (what == CutLink && draw() < long_cuts) return 9 + 6 * draw();
    const bool long_one = what == Pieces || what == BadClients || what == SpoilAnswers ||
                          what == FreezeServer || what == HoldReleases || what == GarbleLines;
    return long_one ? 1 + 5 * draw() : what == StopAgent ? 0.05 + 0.15 * draw() : 0.2 + 1.8 * draw();
}

bool is_busy(const FaultPlan& plan, const FaultStep& step) {
    constexpr double back_s = 1;
    return std::any_of(plan.begin(), plan.end(), [&](const FaultStep& other) {
        const bool same =
            other.what == step.what && (other.agent == step.agent || other.server == step.server);
        return same && step.at < other.at + other.lasts + back_s;
    });
}

FaultPlan draw_steps(const WorldPlan& world, const std::vector<Family>& played, double seconds,
                     Uniform& draw) {
    FaultPlan steps;
    constexpr double every_s = 0.7;
    const double mean_s = every_s / static_cast<double>(played.size());
    for (double at = 0; at < seconds; at += -std::log(1 - 0.999 * draw()) * mean_s) {
        const auto kinds =
            troubles_of(played[static_cast<std::size_t>(draw.below(static_cast<int>(played.size())))]);
        FaultStep step;
        step.at = at;
        step.what = kinds[static_cast<std::size_t>(draw.below(static_cast<int>(kinds.size())))];
        step.server = draw.below(world.servers - world.spares);
        step.agent = draw.below(world.agents);
        step.lasts = lasts(step.what, draw);
        if (!is_busy(steps, step)) steps.push_back(step);
    }
    return steps;
}

}  // namespace

const char* name_of(Family family) {
    return names[static_cast<std::size_t>(family)];
}

Family family_named(const std::string& name) {
    const auto known = std::find(names.begin(), names.end(), name);
    if (known == names.end()) throw std::runtime_error("there is no family " + name);
    return static_cast<Family>(known - names.begin());
}

std::vector<Family> families_of(std::uint64_t seed) {
    std::vector<std::vector<Family>> all;
    for (int a = 0; a < families; ++a) {
        all.push_back({static_cast<Family>(a)});
        for (int b = a + 1; b < families; ++b) {
            all.push_back({static_cast<Family>(a), static_cast<Family>(b)});
            for (int c = b + 1; c < families; ++c)
                all.push_back({static_cast<Family>(a), static_cast<Family>(b), static_cast<Family>(c)});
        }
    }
    return all[(seed + all.size() - 1) % all.size()];
}

SoakPlan soak_plan(std::uint64_t seed, const std::vector<Family>& played) {
    Uniform draw{std::mt19937_64(seed * 6364136223846793005 + 1)};
    SoakPlan plan;
    plan.played = played;
    plan.crowd = seed % crowd_every == 0;
    plan.trial.world = deployment(seed, draw);
    if (std::find(played.begin(), played.end(), Family::Clients) != played.end())
        plan.trial.world.gives_up_part = 0.2;
    plan.trial.seconds = 15 + 10 * draw();
    plan.trial.settles_s = 10;  // what could not be released is released 8 s after its end
    plan.trial.faults = draw_steps(plan.trial.world, played, plan.trial.seconds, draw);
    constexpr double crowd_size = 6, crowd_lasts_s = 4;
    if (plan.crowd)
        plan.trial.faults.push_back({plan.trial.seconds / 2, crowd_lasts_s, Rush, 0, 0, crowd_size});
    return plan;
}

std::string to_text(const SoakPlan& plan) {
    std::string text;
    for (const FaultStep& step : plan.trial.faults) text += to_text(step) + "\n";
    return text;
}

}  // namespace lab
