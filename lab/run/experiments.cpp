#include "experiments.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>

#include "lab/run/socket_world.h"
#include "lab/sim/sim_world.h"

namespace lab {
namespace {

double part(std::vector<double> values, double which) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(which * last))];
}

void add_ledger(Result& result, const Ledger& ledger, const std::string& where) {
    for (const std::string& what : ledger.violations()) result.violations.push_back(where + ": " + what);
}

double worth_part(const Ledger& ledger) {
    const auto& sums = ledger.sums();
    return sums.worth_offered > 0 ? sums.worth_earned / sums.worth_offered : 0;
}

// Arrivals that would fill this part of all links at the middle rate.
double arrivals_for(const WorldPlan& plan, double load) {
    double scale = 0;
    for (const ClassPlan& cls : plan.classes) scale += cls.scale / static_cast<double>(plan.classes.size());
    const double middle = plan.ladder_kb[plan.ladder_kb.size() / 2] * scale;
    return load * plan.all_links_kb() / (middle * plan.life_s);
}

struct Uniform {
    std::mt19937_64 random;
    double operator()() { return static_cast<double>(random() >> 11) * 0x1p-53; }
    int below(int most) { return static_cast<int>(random() % static_cast<std::uint64_t>(most)); }
};

// ---- handover: one agent on sockets, squeezes, drains and freezes ----

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

struct HandoverRun {
    double worth = 0, seconds = 0;
    std::uint64_t begun = 0;
    Ledger::Sums sums;
};

// One fault after another, by the seed alone: every two seconds a server's link gives less for some seconds,
// every seventh time one drains, and now and then one freezes just when it is needed.
HandoverRun play_handover(const WorldPlan& plan, const Ask& ask, double at_least, double at_most,
                          std::uint64_t moves, Result& result) {
    SocketWorld world(plan, ask.program, ask.folder);
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
                world.fleet().squeeze(server, gives);
                due.push_back({world.now() + lasts, [&, server, free] {
                                   world.fleet().squeeze(server, 1);
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
    if (!world.agent_runs()) result.violations.emplace_back("the agent has ended");
    world.finish(10);
    add_ledger(result, world.ledger(), plan.agents_hand_over ? "with" : "without");
    run.worth = worth_part(world.ledger());
    run.sums = world.ledger().sums();
    std::ifstream log(ask.folder + "/log");
    std::string line;
    while (std::getline(log, line)) run.begun += line.find(" handover ") != std::string::npos ? 1 : 0;
    for (int server = 0; server < plan.servers; ++server) {
        if (world.server(server).reservations() > 0) result.violations.emplace_back("a reservation is left");
    }
    return run;
}

// ---- handover-fleet ----

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
        const auto* mover = world.agent(agent)->sessions().mover();
        if (mover != nullptr) run.begun += static_cast<double>(mover->counts().begun);
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

// Every fault that the laboratory knows, at random times, while sessions are handed over.
Result run_rules(const Ask& ask) {
    Result result;
    WorldPlan plan;
    plan.seed = ask.seed;
    plan.agents = 4;
    plan.servers = plan.cells = 12;
    plan.copies = 6;
    plan.life_s = 15;
    plan.told_every = 1;
    plan.arrivals_per_s = arrivals_for(plan, 0.8);
    plan.agents_hand_over = true;
    plan.handover.moves_per_minute = 1200;
    plan.handover.rest_s = 3;
    SimWorld world(plan, {0.0005, 0.004});
    world.network().set_short_io(0.05);
    Uniform uniform{std::mt19937_64(ask.seed + 1)};
    world.run_for(5);
    std::vector<std::pair<double, std::function<void()>>> mends;
    for (int step = 0; step < 160; ++step) {
        const int server = uniform.below(plan.servers), agent = uniform.below(plan.agents);
        const double lasts = 0.1 + 2 * uniform();
        const auto later = [&](double after, std::function<void()> what) {
            world.network().at(world.now() + after, std::move(what));
        };
        switch (uniform.below(10)) {
            case 0:
            case 1:
            case 2:
                world.squeeze(server, 0.2 + 0.5 * uniform());
                later(lasts * 3, [&world, server] { world.squeeze(server, 1); });
                break;
            case 3:
            case 4:
                world.freeze_server(server, true);
                later(lasts, [&world, server] { world.freeze_server(server, false); });
                break;
            case 5:
                world.kill_server(server, lasts);
                break;
            case 6:
                world.cut(agent, server, true);
                later(lasts, [&world, agent, server] { world.cut(agent, server, false); });
                break;
            case 7:
                if (step % 4 == 0) world.kill_agent(agent);
                break;
            case 8:
                world.stop_agent(agent, true);
                later(0.2, [&world, agent] { world.stop_agent(agent, false); });
                break;
            default:
                if (step % 3 == 0) world.ask_agent_to_end(agent);
        }
        world.run_for(0.5);
    }
    world.finish();
    // A process that is killed takes its connections and what it owed with it: no rule holds it to more.
    for (const std::string& what : world.ledger().violations()) {
        const bool of_a_kill = what.find("lost:") != std::string::npos ||
                               what.find("never answered") != std::string::npos ||
                               what.find("never heard") != std::string::npos ||
                               what.find("no answer in time") != std::string::npos;
        if (!of_a_kill) result.violations.push_back(what);
    }
    std::uint64_t left = 0;
    for (int server = 0; server < plan.servers; ++server) {
        if (world.server(server) != nullptr) left += world.server(server)->reservations();
    }
    if (left > 0) result.violations.emplace_back("reservations are left");
    const auto& sums = world.ledger().sums();
    result.figures = {{"asked", static_cast<double>(sums.asked)},
                      {"answered", static_cast<double>(sums.answered)},
                      {"moves_done", static_cast<double>(sums.moves)},
                      {"gap_ms_max_of_all", sums.worst_gap_ms},
                      {"duplicate_setups", static_cast<double>(sums.duplicate_setups)},
                      {"double_payments", static_cast<double>(sums.double_payments)},
                      {"faults_logged", static_cast<double>(world.faults_logged())},
                      {"trace_low", static_cast<double>(world.trace() & 0xFFFFFFFFU)},
                      {"trace_high", static_cast<double>(world.trace() >> 32)}};
    return result;
}

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
        SocketWorld world(plan, ask.program, ask.folder);
        world.viewers().leave_at_once = true;
        if (!world.run_until([&] { return world.viewers().ready(); }, 5)) {
            result.violations.emplace_back("the agent never passed a test");
            return;
        }
        constexpr std::uint64_t warm = 2000, counted = 20000, at_once = 16;
        std::uint64_t sent = 0;
        const auto done = [&] { return world.viewers().answers() + world.viewers().refusals(); };
        const auto play_to = [&](std::uint64_t most) {
            return world.run_until(
                [&] {
                    while (sent < most && world.viewers().open() < at_once)
                        world.viewers().ask(1, 60), ++sent;
                    return done() >= most;
                },
                60);
        };
        if (!play_to(warm)) result.violations.emplace_back("set-ups stay open");
        const double cpu = world.agent_cpu_s(), began = world.now();
        if (!play_to(warm + counted)) result.violations.emplace_back("set-ups stay open");
        per_s = counted / (world.now() - began);
        cpu_us = (world.agent_cpu_s() - cpu) * 1e6 / counted;
        memory_kb = static_cast<double>(world.agent_memory_kb());
        add_ledger(result, world.ledger(), served ? "served" : "refused");
        const bool as_meant = served ? world.viewers().refusals() == 0 : world.viewers().answers() == 0;
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

// Eight servers, an agent and viewers for ten seconds; a server's link is squeezed in the middle.
Result run_demo(const Ask& ask) {
    Result result;
    WorldPlan plan = handover_plan(ask.seed, true);
    plan.arrivals_per_s = arrivals_for(plan, 1.5);
    SocketWorld world(plan, ask.program, ask.folder);
    world.run_for(5);
    world.fleet().squeeze(0, 0.3);
    world.run_for(5);
    world.viewers().stop_arrivals();
    world.run_for(1);
    add_ledger(result, world.ledger(), "demo");
    const auto& sums = world.ledger().sums();
    result.figures = {{"sessions_asked_for", static_cast<double>(sums.asked)},
                      {"sessions_served", static_cast<double>(sums.answered)},
                      {"sessions_refused", static_cast<double>(sums.refused)},
                      {"sessions_playing", static_cast<double>(world.viewers().watching())},
                      {"handed_over", static_cast<double>(sums.moves)},
                      {"longest_gap_ms", sums.worst_gap_ms},
                      {"worth_of_what_was_wanted", worth_part(world.ledger())},
                      {"agent_cpu_s", world.agent_cpu_s()},
                      {"agent_memory_kb", static_cast<double>(world.agent_memory_kb())}};
    return result;
}

const std::vector<Experiment>& experiments() {
    static const std::vector<Experiment> all = {
        {"handover", "hand-overs on sockets under squeezes, drains and freezes, with and without",
         run_handover},
        {"handover-fleet", "100 agents and 60 servers in virtual time, a quarter of the links squeezed",
         run_handover_fleet},
        {"rules", "random faults in virtual time while sessions are handed over", run_rules},
        {"demo", "ten seconds of service on sockets", run_demo},
        {"load", "what a set-up costs the agent, served and refused, on sockets", run_load}};
    return all;
}

}  // namespace lab
