#include "rules_plan.h"

#include "lab/broken/broken.h"
#include "lab/run/socket_world.h"
#include "lab/sim/sim_world.h"

namespace lab {
namespace {

template <typename AnyWorld>
void sum_up(AnyWorld& world, Result& result) {
    add_ledger(result, world.ledger(), "ledger");
    std::uint64_t left = 0;
    for (int server = 0; server < world.plan().servers; ++server) {
        if (world.server(server) != nullptr) left += world.server(server)->reservations();
    }
    if (left > 0) result.violations.emplace_back("reservations are left");
    const auto& sums = world.ledger().sums();
    result.figures = {{"asked", static_cast<double>(sums.asked)},
                      {"answered", static_cast<double>(sums.answered)},
                      {"refused", static_cast<double>(sums.refused)},
                      {"failed", static_cast<double>(sums.failed)},
                      {"set_ups", static_cast<double>(sums.set_ups)},
                      {"excused", static_cast<double>(sums.excused)},
                      {"moves_done", static_cast<double>(sums.moves)},
                      {"gap_ms_max_of_all", sums.worst_gap_ms},
                      {"duplicate_setups", static_cast<double>(sums.duplicate_setups)},
                      {"double_payments", static_cast<double>(sums.double_payments)},
                      {"late_after_drain", static_cast<double>(sums.late_after_drain)},
                      {"cold_pushed_over", static_cast<double>(sums.cold_pushed_over)},
                      {"worth", worth_part(world.ledger())}};
}

}  // namespace

RulesPlan rules_plan(std::uint64_t seed, int agents, double seconds, double every_s) {
    RulesPlan plan;
    WorldPlan& world = plan.world;
    world.seed = seed;
    world.agents = agents;
    world.servers = world.cells = 12;
    world.copies = 6;
    world.life_s = 6;
    world.told_every = 1;
    world.link_kb = 12000;
    world.arrivals_per_s = arrivals_for(world, 0.9);
    world.agents_hand_over = true;
    world.handover.moves_per_minute = 1200;
    world.handover.rest_s = 3;
    world.agents_remember = seed % 2 == 0;
    plan.seconds = seconds;
    using enum Trouble;
    plan.faults = draw_faults(world, seed + 1, seconds, every_s,
                              {Squeeze, Squeeze, Squeeze, FreezeServer, FreezeServer, KillServer, KillServer,
                               DrainServer, DrainServer, CutLink, KillAgent, StopAgent, EndAgent, Rush});
    return plan;
}

RulesPlan short_plan(std::uint64_t seed) {
    RulesPlan plan;
    WorldPlan& world = plan.world;
    world = even_plan(seed, 2, 4, 40000);
    world.places = 100;
    world.life_s = 3;
    world.rack_part = 1.2;
    world.arrivals_per_s = arrivals_for(world, 0.9);
    world.gives_up_part = 0.05;
    plan.seconds = 15;
    plan.settles_s = 11;
    using enum Trouble;
    world.agents_remember = true;
    // Server 3 freezes and dies before it thaws, twice: what is out there breaks. Agent 0 dies with set-ups
    // out.
    plan.faults = {{1.0, 7.0, FreezeServer, 0, 0, 0}, {1.0, 2.0, FreezeServer, 3, 0, 0},
                   {2.4, 0.5, KillServer, 3, 0, 0},   {2.5, 4.0, Rush, 0, 0, 1.5},
                   {3.0, 5.0, DrainServer, 2, 0, 0},  {1.8, 0.5, KillAgent, 0, 0, 0},
                   {6.0, 0.5, KillServer, 1, 0, 0},   {11.0, 1.0, FreezeServer, 3, 0, 0},
                   {11.6, 0.3, KillServer, 3, 0, 0}};
    return plan;
}

Result play_rules(const RulesPlan& plan, const std::string& fault) {
    Result result;
    SimWorld world(plan.world, {0.0005, 0.004});
    world.network().set_short_io(0.05);
    world.ledger().follow(plan.follow);
    if (!fault.empty()) {
        const auto kind = fault_named(fault);
        if (!kind) throw std::runtime_error("there is no broken agent " + fault);
        world.break_agents([kind] { return std::make_unique<Broken>(*kind); });
        for (int agent = 0; agent < plan.world.agents; ++agent) world.kill_agent(agent);
    }
    world.run_for(3);
    play(world, plan.faults, plan.seconds);
    world.finish(plan.settles_s);
    sum_up(world, result);
    if (fault.empty() && world.faults_logged() > 0) result.violations.emplace_back("an agent logged a fault");
    result.figures.emplace_back("trace_low", static_cast<double>(world.trace() & 0xFFFFFFFFU));
    result.figures.emplace_back("trace_high", static_cast<double>(world.trace() >> 32));
    return result;
}

Result play_processes(const RulesPlan& plan, const std::string& program, const std::string& folder,
                      const std::string& fault) {
    Result result;
    // Processes share the machine with whatever else runs on it.
    WorldPlan slow = plan.world;
    slow.slack_s = 0.5;
    SocketWorld world(slow, {program, folder, true, 0.0005, fault});
    world.ledger().follow(plan.follow);
    world.run_for(2);
    play(world, plan.faults, plan.seconds, !fault.empty());
    // A broken one is caught at the first rule that it breaks, however busy the machine: what was never done
    // is looked for each second, as at the end.
    for (int second = 0; !fault.empty() && second < plan.settles_s; ++second) {
        if (!world.ledger().violations().empty()) break;
        // Viewers go on coming for a while: what ends long after the last trouble is excused by none.
        constexpr int serves_on_s = 20;
        if (second < serves_on_s) world.run_for(1);
        if (second < serves_on_s) world.ledger().close(world.now());
        if (second >= serves_on_s) world.finish(1);
    }
    if (fault.empty()) world.finish(plan.settles_s);
    sum_up(world, result);
    for (int agent = 0; agent < plan.world.agents; ++agent) {
        if (fault.empty() && world.process(agent).logged(" fault ") > 0)
            result.violations.emplace_back("an agent logged a fault");
    }
    return result;
}

}  // namespace lab
