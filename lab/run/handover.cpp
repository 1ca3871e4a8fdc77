// Hand-overs of one agent on sockets, with squeezes, drains and freezes; the same without.
#include <algorithm>
#include <functional>

#include "lab/run/common.h"
#include "lab/run/socket_world.h"

namespace lab {

WorldPlan handover_plan(std::uint64_t seed, bool with) {
    WorldPlan plan;
    plan.seed = seed;
    plan.agents = 1;
    plan.servers = plan.cells = 12;
    plan.racks = 2;
    plan.zones = 2;
    plan.copies = 6;
    plan.agent_descriptors = 512;
    plan.life_s = 30;
    plan.link_kb = 60000;
    plan.places = 600;
    plan.told_every = 1;
    plan.told_late = 0.3;
    plan.rack_part = 1.2;
    plan.arrivals_per_s = arrivals_for(plan, 0.55);
    plan.agents_hand_over = with;
    plan.handover.moves_per_minute = 1200;
    plan.handover.out_of_source = 16;
    plan.handover.into_target = 8;
    return plan;
}

namespace {

struct HandoverRun {
    double worth = 0, seconds = 0;
    std::uint64_t begun = 0;
    Ledger::Sums sums;
};

// One fault after another, by the seed alone: every two seconds a server's link gives less for some seconds,
// every seventh time one drains, and now and then one freezes just when it is needed.
HandoverRun play_handover(const WorldPlan& plan, const Ask& ask, double at_least, double at_most,
                          std::uint64_t moves, Result& result) {
    SocketWorld world(plan, {ask.program, ask.folder});
    Uniform uniform{std::mt19937_64(plan.seed)};
    world.run_for(15);
    const double began = world.now();
    struct Due {
        double at = 0;
        std::function<void()> what;
    };
    std::vector<Due> due;
    std::vector<bool> troubled(static_cast<std::size_t>(plan.servers), false);
    const auto enough = [&] {
        const double passed = world.now() - began;
        return passed >= at_most || (passed >= at_least && world.ledger().sums().moves >= moves);
    };
    constexpr double fault_every = 2.0;
    for (int step = 0; !enough(); ++step) {
        const int server = uniform.below(plan.servers);
        const double gives = 0.15 + 0.25 * uniform(), lasts = 8 + 6 * uniform(), kind = uniform();
        auto taken = troubled[static_cast<std::size_t>(server)];
        if (!taken) {
            troubled[static_cast<std::size_t>(server)] = true;
            const auto free = [&, server] { troubled[static_cast<std::size_t>(server)] = false; };
            if (kind < 0.6) {
                world.squeeze(server, gives);
                due.push_back({world.now() + lasts, [&, server, free] {
                                   world.squeeze(server, 1);
                                   free();
                               }});
            } else if (kind < 0.8) {
                world.drain_server(server);
                due.push_back({world.now() + lasts, [&, server, free] {
                                   world.list_server(server);
                                   free();
                               }});
            } else {
                world.freeze_server(server, true);
                due.push_back({world.now() + 0.2 + 0.8 * uniform(), [&, server, free] {
                                   world.freeze_server(server, false);
                                   free();
                               }});
            }
        }
        const double next = began + (step + 1) * fault_every;
        while (world.now() < next) {
            double wake = next;
            for (const Due& one : due) wake = std::min(wake, one.at);
            world.run_for(std::max(0.0, wake - world.now()));
            for (std::size_t i = 0; i < due.size();) {
                if (due[i].at > world.now()) {
                    ++i;
                    continue;
                }
                const auto what = due[i].what;
                due.erase(due.begin() + static_cast<long>(i));
                what();
            }
        }
    }
    HandoverRun run;
    run.seconds = world.now() - began;
    for (const Due& one : due) one.what();
    world.finish(10);
    add_ledger(result, world.ledger(), plan.agents_hand_over ? "with" : "without");
    run.worth = worth_part(world.ledger());
    run.sums = world.ledger().sums();
    run.begun = world.process(0).logged(" handover ");
    for (int server = 0; server < plan.servers; ++server) {
        if (world.server(server)->reservations() > 0) result.violations.emplace_back("a reservation is left");
    }
    return run;
}

}  // namespace

Result run_handover(const Ask& ask) {
    Result result;
    const HandoverRun with = play_handover(handover_plan(ask.seed, true), ask, 30, 100, 220, result);
    const HandoverRun without =
        play_handover(handover_plan(ask.seed, false), ask, with.seconds, with.seconds, 0, result);
    const auto& sums = with.sums;
    result.figures = {{"moves_started", static_cast<double>(with.begun)},
                      {"moves_done", static_cast<double>(sums.moves)},
                      {"gap_ms_p50", part(sums.gaps_ms, 0.5)},
                      {"gap_ms_p99", part(sums.gaps_ms, 0.99)},
                      {"gap_ms_max", part(sums.gaps_ms, 1)},
                      {"gaps_measured", static_cast<double>(sums.gaps_ms.size())},
                      {"gap_ms_max_of_all", sums.worst_gap_ms},
                      {"duplicate_setups", static_cast<double>(sums.duplicate_setups)},
                      {"double_payments", static_cast<double>(sums.double_payments)},
                      {"worth_with", with.worth},
                      {"worth_without", without.worth},
                      {"sessions", static_cast<double>(sums.answered)},
                      {"seconds", with.seconds}};
    if (sums.moves < 200) result.violations.emplace_back("fewer than 200 moves came about");
    return result;
}

}  // namespace lab
