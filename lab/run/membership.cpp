// What membership costs and how well it knows, in virtual time: deaths found out, and nobody called dead who
// lives, over sound links, and over lossy ones with processes that stand still.
#include <algorithm>

#include "lab/run/common.h"
#include "lab/sim/talk_world.h"

namespace lab {

namespace {

constexpr int usual_agents = 300, kills = 15;
constexpr double longest_s = 60;  // until all agree
constexpr double quiet_s = 20;    // in which messages are counted
constexpr double between_kills_s = 4, pause_s = 2;
// Later than any death is found: that of a life that is over, told when the next has begun, would count as
// false.
constexpr double away_s = 40;

struct Rate {  // of one agent, the mean over all
    double messages_per_s = 0, bytes_per_s = 0;
};

Rate rate_over(TalkWorld& world, double seconds) {
    const auto sent = world.sent(), bytes = world.sent_bytes();
    world.run_for(seconds);
    const double share = seconds * world.agents();
    return {static_cast<double>(world.sent() - sent) / share,
            static_cast<double>(world.sent_bytes() - bytes) / share};
}

void kill_one(TalkWorld& world, Uniform& uniform, bool pauses) {
    const int which = uniform.below(world.agents()), still = uniform.below(world.agents());
    if (pauses && still != which && world.peers(still) != nullptr) {
        world.stop(still, true);
        world.network().at(world.now() + pause_s, [&world, still] { world.stop(still, false); });
    }
    world.kill(which);
    world.run_for(between_kills_s);
    world.network().at(world.now() + away_s, [&world, which] {
        if (world.peers(which) == nullptr) world.start(which);
    });
}

void play(const Ask& ask, const std::string& links, const Lossy& lossy, bool pauses, Result& result) {
    if (!ask.links.empty() && ask.links != links) return;
    const std::string mark = links + "_";
    TalkWorld world(ask.agents_or(usual_agents), ask.seed, {}, lossy);
    Uniform uniform{std::mt19937_64(ask.seed * 31 + 7)};
    double agreed = 0;
    while (!world.all_agree() && agreed < longest_s) world.run_for(0.25), agreed += 0.25;
    if (!world.all_agree()) result.violations.push_back(mark + "they never agreed on who is there");
    const Rate first = rate_over(world, quiet_s);
    for (int kill = 0; kill < kills; ++kill) kill_one(world, uniform, pauses);
    world.run_for(longest_s);
    if (!world.all_agree()) result.violations.push_back(mark + "they don't agree at the end");
    const Rate settled = rate_over(world, quiet_s);
    const auto count = [](std::uint64_t of) { return static_cast<double>(of); };
    const double agents = world.agents();
    result.figures.insert(result.figures.end(),
                          {{mark + "agreed_s", agreed},
                           {mark + "messages_per_s", first.messages_per_s * agents},
                           {mark + "bytes_per_s", first.bytes_per_s * agents},
                           {mark + "agent_messages_per_s", first.messages_per_s},
                           {mark + "agent_bytes_per_s", first.bytes_per_s},
                           {mark + "settled_agent_messages_per_s", settled.messages_per_s},
                           {mark + "settled_agent_bytes_per_s", settled.bytes_per_s},
                           {mark + "detect_s_p50", part(world.first_heard(), 0.5)},
                           {mark + "detect_s_p99", part(world.first_heard(), 0.99)},
                           {mark + "known_to_all_s_p99", part(world.last_heard(), 0.99)},
                           {mark + "deaths_found", count(world.first_heard().size())},
                           {mark + "suspicions", count(world.logged("suspected"))},
                           {mark + "false_deaths", count(world.false_deaths())},
                           {mark + "false_deaths_of_running", count(world.false_deaths_of_running())},
                           {mark + "late_deaths", count(world.late_deaths())},
                           {mark + "falsely_dead_agents", count(world.falsely_dead().size())}});
    for (const std::string& name : world.falsely_dead())
        result.notes.push_back(mark + name + " was called dead while it ran");
}

}  // namespace

Result run_membership(const Ask& ask) {
    Result result;
    play(ask, "calm", {}, false, result);
    play(ask, "lossy", {0.2, 0.05, 0.05, 1.0}, true, result);
    return result;
}

}  // namespace lab
