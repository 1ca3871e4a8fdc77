#include "lab/run/common.h"
#include "lab/run/socket_world.h"

namespace lab {

// One agent, links without end: set-ups one after the other, each left as soon as it is answered; then
// set-ups that nobody can serve.
Result run_load(const Ask& ask) {
    Result result;
    const auto play = [&](bool served, double& per_s, double& cpu_us, double& memory_kb) {
        WorldPlan plan;
        plan.seed = ask.seed;
        plan.agents = 1;
        plan.servers = plan.cells = 8;
        plan.link_kb = 1e7;
        plan.places = served ? 100000 : 0;
        plan.arrivals_per_s = 0;
        plan.agent_descriptors = 512;
        SocketWorld world(plan, {ask.program, ask.folder});
        world.viewers(0).leave_at_once = true;
        if (!world.run_until([&] { return world.viewers(0).ready(); }, 5)) {
            result.violations.emplace_back("the agent never passed a test");
            return;
        }
        constexpr std::uint64_t warm = 2000, counted = 20000, at_once = 16;
        std::uint64_t sent = 0;
        const auto done = [&] { return world.viewers(0).answers() + world.viewers(0).refusals(); };
        const auto play_to = [&](std::uint64_t most) {
            return world.run_until(
                [&] {
                    while (sent < most && world.viewers(0).open() < at_once)
                        world.viewers(0).ask(1, 60), ++sent;
                    return done() >= most;
                },
                60);
        };
        if (!play_to(warm)) result.violations.emplace_back("set-ups stay open");
        const double cpu = world.process(0).cpu_s(), began = world.now();
        if (!play_to(warm + counted)) result.violations.emplace_back("set-ups stay open");
        per_s = counted / (world.now() - began);
        cpu_us = (world.process(0).cpu_s() - cpu) * 1e6 / counted;
        memory_kb = static_cast<double>(world.process(0).memory_kb());
        add_ledger(result, world.ledger(), served ? "served" : "refused");
        const bool as_meant = served ? world.viewers(0).refusals() == 0 : world.viewers(0).answers() == 0;
        if (!as_meant) result.violations.emplace_back("set-ups ended otherwise than was meant");
    };
    double served_ps = 0, served_us = 0, refused_ps = 0, refused_us = 0, memory = 0;
    play(true, served_ps, served_us, memory);
    play(false, refused_ps, refused_us, memory);
    result.figures = {{"served_per_s", served_ps},
                      {"served_cpu_us", served_us},
                      {"refused_per_s", refused_ps},
                      {"refused_cpu_us", refused_us},
                      {"agent_memory_kb", memory}};
    return result;
}

}  // namespace lab
