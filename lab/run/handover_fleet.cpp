// Hand-overs of a hundred agents in virtual time, a quarter of the links squeezed; the same without.
#include <algorithm>
#include <fstream>

#include "lab/run/common.h"
#include "lab/sim/sim_world.h"

namespace lab {
namespace {

struct FleetRun {
    double worth = 0, moves = 0, begun = 0, moved_again = 0, pushed_over = 0, seconds = 0, worst_gap = 0;
    std::vector<double> moves_by_second;
};

FleetRun play_fleet(std::uint64_t seed, bool with, Result& result) {
    WorldPlan plan;
    plan.seed = seed;
    plan.agents = 100;
    plan.servers = 60;
    plan.cells = 60;
    plan.racks = 6;
    plan.zones = 2;
    plan.copies = 20;
    plan.rack_part = 1.2;
    plan.arrivals_per_s = arrivals_for(plan, 0.6);
    plan.agents_hand_over = with;
    plan.handover.moves_per_minute = 60;
    SimWorld world(plan);
    FleetRun run;
    world.run_for(40);
    const double squeeze_s = 40;
    for (int server = 0; server < plan.servers; server += 4) world.squeeze(server, 0.5);
    double before = static_cast<double>(world.ledger().sums().moves);
    for (int second = 0; second < static_cast<int>(squeeze_s); ++second) {
        world.run_for(1);
        const auto now = static_cast<double>(world.ledger().sums().moves);
        run.moves_by_second.push_back(now - before);
        before = now;
    }
    for (int server = 0; server < plan.servers; server += 4) world.squeeze(server, 1);
    world.run_for(20);
    int over = 0, targets = 0;
    for (int server = 0; server < plan.servers; ++server) {
        const double most = world.server(server)->fill_after_move_most();
        targets += most > 0 ? 1 : 0;
        over += most > 1 ? 1 : 0;
    }
    for (int agent = 0; agent < plan.agents; ++agent) {
        const auto* handovers = world.agent(agent)->sessions().handovers();
        if (handovers != nullptr) run.begun += static_cast<double>(handovers->counts().begun);
    }
    world.finish();
    const auto& sums = world.ledger().sums();
    run.moves = static_cast<double>(sums.moves);
    run.moved_again = static_cast<double>(sums.moved_again);
    run.pushed_over = targets > 0 ? static_cast<double>(over) / targets : 0;
    run.seconds = squeeze_s;
    run.worst_gap = sums.worst_gap_ms;
    run.worth = worth_part(world.ledger());
    add_ledger(result, world.ledger(), with ? "with" : "without");
    return run;
}

}  // namespace

Result run_handover_fleet(const Ask& ask) {
    Result result;
    const FleetRun with = play_fleet(ask.seed, true, result);
    const FleetRun without = play_fleet(ask.seed, false, result);
    if (!ask.plot.empty()) {
        std::ofstream out(ask.plot);
        for (std::size_t i = 0; i < with.moves_by_second.size(); ++i)
            out << i << " " << with.moves_by_second[i] << "\n";
    }
    const double most = with.moves_by_second.empty()
                            ? 0
                            : *std::max_element(with.moves_by_second.begin(), with.moves_by_second.end());
    result.figures = {{"moves_started", with.begun},
                      {"moves_done", with.moves},
                      {"moves_per_s", with.moves / with.seconds},
                      {"moves_per_s_most", most},
                      {"targets_pushed_over", with.pushed_over},
                      {"oscillation", with.moves > 0 ? with.moved_again / with.moves : 0},
                      {"gap_ms_max", with.worst_gap},
                      {"worth_with", with.worth},
                      {"worth_without", without.worth}};
    return result;
}

}  // namespace lab
