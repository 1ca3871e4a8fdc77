// Power losses in virtual time: what returns first, what never returns, and power that fails again and again.
#include <doctest/doctest.h>

#include <string>

#include "lab/run/power_loss.h"
#include "lab/sim/sim_world.h"

using namespace lab;

namespace {

WorldPlan plan_of(std::uint64_t seed, const std::string& order) {
    WorldPlan plan = even_plan(seed, 8, 6, 12000);
    plan.racks = plan.zones = 2;
    plan.places = 120;
    plan.rack_part = 1.5;
    plan.life_s = 15;
    plan.arrivals_per_s = 8;
    plan.claimed_part = 0.7;
    plan.heeds_part = 0.7;
    plan.store.claim_s = 4;
    plan.recovery.spread_s = 6;
    plan.recovery.paid_s = 4;
    plan.recovery.rest_s = 8;
    with_recovery(plan, order);
    return plan;
}

std::string verdict(SimWorld& world) {
    world.finish();
    const auto& broken = world.ledger().violations();
    if (world.faults_logged() > 0) return "an agent logged a fault";
    return broken.empty() ? "" : broken.front();
}

bool all_ordinary(SimWorld& world, int besides = 0) {
    int others = 0;
    for (int agent = 0; agent < world.plan().agents; ++agent) {
        const auto* one = world.agent(agent);
        others +=
            one == nullptr || one->recovery()->stage() != jasperspread::recovery::Stage::Ordinary ? 1 : 0;
    }
    return others <= besides;
}

}  // namespace

TEST_CASE("power: whatever returns first or last, service does, and no rule is broken") {
    struct Times {
        double agents, servers, feeds;
    };
    // All at once; agents long before any server; servers long before any agent; the feeds last.
    for (const Times times : {Times{0.1, 0.1, 0.1}, {0.1, 8, 0.1}, {8, 0.1, 0.1}, {0.1, 1, 10}}) {
        for (const char* order : {"strict", "fleet"}) {
            INFO(order << " " << times.agents << " " << times.servers << " " << times.feeds);
            SimWorld world(plan_of(5, order));
            world.run_for(12);
            PowerLoss loss;
            loss.agents_s = times.agents;
            loss.servers_s = times.servers;
            loss.feeds_s = times.feeds;
            world.power_fails(loss);
            world.run_for(25);
            CHECK(all_ordinary(world));
            const auto answered = world.ledger().sums().answered;
            world.run_for(5);
            CHECK_GT(world.ledger().sums().answered, answered + 10);
            CHECK_EQ(verdict(world), "");
        }
    }
}

TEST_CASE("power: it fails ten times in a row, in every stage of the return") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        INFO(seed);
        SimWorld world(plan_of(seed, seed % 2 == 0 ? "strict" : "fleet"));
        world.set_lossy({0.2, 0.05, 0.05, 0.5});
        world.run_for(8);
        Uniform uniform{std::mt19937_64(seed)};
        for (int time = 0; time < 10; ++time) {
            PowerLoss loss;
            loss.seed = seed * 100 + static_cast<std::uint64_t>(time);
            if (time % 3 == 2) loss.building = time % 2;
            world.power_fails(loss);
            world.run_for(0.5 + 8 * uniform());
        }
        world.run_for(25);
        CHECK(all_ordinary(world));
        CHECK_EQ(world.ledger().sums().duplicate_setups, 0);
        CHECK_EQ(verdict(world), "");
    }
}

TEST_CASE("power: half of the agents never return, and the others serve their viewers") {
    SimWorld world(plan_of(3, "fleet"));
    world.run_for(10);
    PowerLoss loss;
    loss.never_part = 0.5;
    world.power_fails(loss);
    world.run_for(30);
    int there = 0;
    for (int agent = 0; agent < 8; ++agent) there += world.agent(agent) != nullptr ? 1 : 0;
    REQUIRE_LT(there, 8);
    REQUIRE_GT(there, 0);
    CHECK(all_ordinary(world, 8 - there));
    const auto answered = world.ledger().sums().answered;
    world.run_for(5);
    CHECK_GT(world.ledger().sums().answered, answered + 10);
    CHECK_EQ(verdict(world), "");
}

TEST_CASE("power: an agent that stood still in its return makes up for it, and a split in it heals") {
    SimWorld world(plan_of(4, "strict"));
    world.run_for(10);
    world.power_fails({});
    world.run_for(4);
    world.stop_agent(0, true);
    world.split_agents({1, 3, 5}, true);
    world.run_for(10);
    world.stop_agent(0, false);
    world.split_agents({1, 3, 5}, false);
    world.run_for(20);
    CHECK(all_ordinary(world));
    CHECK_EQ(verdict(world), "");
}

TEST_CASE("power: an agent that has just started learns at once which servers are warm") {
    // Of 40 agents each has a turn at a cold server in several windows only.
    const auto answered_after = [](bool talks) {
        WorldPlan plan = plan_of(6, "off");
        plan.agents = 40;
        plan.places = 40;
        plan.agents_talk = talks;
        plan.arrivals_per_s = 30;
        plan.life_s = 8;
        SimWorld world(plan);
        world.run_for(20);
        for (int agent = 0; agent < 20; ++agent) world.kill_agent(agent);
        world.run_for(1);
        const auto& sums = world.ledger().sums();
        const auto before = std::pair(sums.asked, sums.answered);
        world.run_for(8);
        const double share = static_cast<double>(sums.answered - before.second) /
                             static_cast<double>(sums.asked - before.first);
        CHECK_EQ(verdict(world), "");
        return share;
    };
    const double with = answered_after(true), without = answered_after(false);
    INFO(with << " " << without);
    CHECK_GT(with, without + 0.02);
}
