#include "lab/run/common.h"
#include "lab/run/socket_world.h"

namespace lab {

// Eight servers, an agent and viewers for ten seconds; a server's link is squeezed in the middle.
Result run_demo(const Ask& ask) {
    Result result;
    WorldPlan plan = handover_plan(ask.seed, true);
    plan.arrivals_per_s = arrivals_for(plan, 1.5);
    SocketWorld world(plan, {ask.program, ask.folder});
    world.run_for(5);
    world.squeeze(0, 0.3);
    world.run_for(5);
    world.viewers(0).stop_arrivals();
    world.run_for(1);
    add_ledger(result, world.ledger(), "demo");
    const auto& sums = world.ledger().sums();
    result.figures = {{"sessions_asked_for", static_cast<double>(sums.asked)},
                      {"sessions_served", static_cast<double>(sums.answered)},
                      {"sessions_refused", static_cast<double>(sums.refused)},
                      {"sessions_playing", static_cast<double>(world.viewers(0).watching())},
                      {"handed_over", static_cast<double>(sums.moves)},
                      {"longest_gap_ms", sums.worst_gap_ms},
                      {"worth_of_what_was_wanted", worth_part(world.ledger())},
                      {"agent_cpu_s", world.process(0).cpu_s()},
                      {"agent_memory_kb", static_cast<double>(world.process(0).memory_kb())}};
    return result;
}

}  // namespace lab
