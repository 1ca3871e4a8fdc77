// The experiments of power losses: processes of the program, and a large fleet in virtual time with each way
// in which service may come back.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "lab/run/power_loss.h"
#include "lab/run/socket_world.h"
#include "lab/sim/sim_world.h"

namespace lab {
namespace {

WorldPlan fleet_plan(std::uint64_t seed, int agents) {
    WorldPlan plan;
    plan.seed = seed;
    plan.agents = agents;
    plan.servers = plan.cells = agents * 2 / 3;
    plan.racks = std::max(2, plan.servers / 10);
    plan.zones = 2;
    plan.copies = 20;
    plan.titles = 400;
    plan.agent_descriptors = 1024;  // a connection to each server that holds a session
    plan.rack_part = 1.2;
    plan.arrivals_per_s = arrivals_for(plan, 0.9);
    plan.claimed_part = 0.7;
    plan.heeds_part = 0.7;
    plan.cold.falls = true;
    plan.recovery.spread_s = 6;
    return plan;
}

}  // namespace

Result run_power_loss(const Ask& ask) {
    Result result;
    const std::string wanted = ask.order.empty() ? "off" : ask.order;
    for (const std::string& order : {wanted, std::string("none")}) {
        WorldPlan plan = power_processes_plan(ask.seed, ask.agents_or(8));
        with_recovery(plan, order);
        const std::string folder = ask.folder + "/" + order;
        std::filesystem::create_directory(folder);
        const bool with = order != "none";
        // With memory each disk loses what was not synced; without, there is none.
        SocketWorld world(plan, {with ? ask.broken_program : ask.program, folder, true, 0.0005, "", with});
        if (with) world.set_lossy({0.1, 0.05, 0.05, 0.3});
        const PowerRun run = play_power(world, {ask.seed});
        for (const std::string& what : run.result.violations) result.violations.push_back(order + " " + what);
        for (const auto& [name, value] : run.result.figures)
            result.figures.emplace_back(with ? (name == "worth" ? "worth_with" : name) : name + "_without",
                                        value);
    }
    return result;
}

Result run_power_loss_fleet(const Ask& ask) {
    Result result;
    std::ofstream plot;
    if (!ask.plot.empty()) plot.open(ask.plot);
    for (const std::string order : {"none", "off", "delay", "strict", "alone", "fleet"}) {
        if (!ask.order.empty() && ask.order != order) continue;
        WorldPlan plan = fleet_plan(ask.seed, ask.agents_or(300));
        with_recovery(plan, order);
        const auto began = std::chrono::steady_clock::now();
        SimWorld world(plan, {0.0005, 0.002});
        world.ledger().follow(ask.follow);
        PowerPlan power{ask.seed, 1, 1, 0, 30, 20, 10, 0, false};
        const double from = world.now();
        const PowerRun run = play_power(world, power);
        const double virtual_s = world.now() - from;
        const double real_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        for (const std::string& what : run.result.violations) result.violations.push_back(order + " " + what);
        for (const char* name :
             {"answered", "sessions_claimed", "ghost_s", "cold_pushed_over", "half_service_s_all",
              "ninety_service_s_all", "half_service_s_building", "ninety_service_s_building",
              "paid_served_share", "sent_cold", "repeat_amplification", "worth"})
            result.figures.emplace_back(order + "_" + name, figure(run.result, name));
        result.figures.emplace_back(order + "_virtual_over_real", virtual_s / real_s);
        if (!plot.is_open()) continue;
        plot << "s " << order << "\n";
        for (const auto& point : run.curve.points()) plot << point.at << " " << point.served << "\n";
        plot << "\n\n";
    }
    if (!ask.order.empty()) return result;
    // What membership costs at this size, and how well it knows, over links that lose a fifth.
    const Result talk = run_membership(ask);
    for (const std::string& what : talk.violations) result.violations.push_back(what);
    for (const auto& [name, value] : talk.figures) {
        const std::string lossy = "lossy_";
        if (name.starts_with(lossy)) result.figures.emplace_back(name.substr(lossy.size()), value);
    }
    return result;
}

}  // namespace lab
