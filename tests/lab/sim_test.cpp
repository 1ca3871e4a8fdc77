// The laboratory itself: the same seed gives the same run, and its ledger catches a broken agent.
#include <doctest/doctest.h>

#include "lab/sim/sim_world.h"

using namespace lab;

namespace {

WorldPlan plan_of(std::uint64_t seed) {
    WorldPlan plan;
    plan.seed = seed;
    plan.agents = 6;
    plan.servers = plan.cells = 10;
    plan.agents_hand_over = true;
    return plan;
}

std::uint64_t run(std::uint64_t seed) {
    SimWorld world(plan_of(seed));
    world.network().set_short_io(0.1);
    world.run_for(10);
    world.squeeze(2, 0.3);
    world.freeze_server(4, true);
    world.run_for(3);
    world.freeze_server(4, false);
    world.kill_server(5, 1.0);
    world.kill_agent(1);
    world.run_for(5);
    world.finish();
    return world.trace();
}

}  // namespace

TEST_CASE("two runs with a seed are the same, bit for bit, and two seeds differ") {
    const std::uint64_t first = run(7);
    CHECK_EQ(first, run(7));
    CHECK_NE(first, run(8));
}

TEST_CASE("a sound fleet breaks no rule") {
    SimWorld world(plan_of(3));
    world.run_for(20);
    world.drain_server(2);
    world.run_for(10);
    world.finish();
    const std::string first = world.ledger().violations().empty() ? "" : world.ledger().violations().front();
    INFO(first);
    CHECK(world.ledger().violations().empty());
    CHECK_GT(world.ledger().sums().answered, 20);
    CHECK_EQ(world.faults_logged(), 0);
}

TEST_CASE("the ledger catches an agent that takes a paid class for one that may be sent twice") {
    WorldPlan plan = plan_of(5);
    plan.paid_part = 1;
    plan.agents_hand_over = false;
    SimWorld world(plan);
    world.corrupt([](jasperspread::agent::Config& config) {
        for (auto& cls : config.profile.settings.classes) cls.semantics = cinderfront::Semantics::ReadLike;
    });
    for (int agent = 0; agent < plan.agents; ++agent) world.kill_agent(agent);
    world.run_for(5);
    for (int server = 0; server < 5; ++server) world.freeze_server(server, true);
    world.run_for(10);
    bool caught = false;
    for (const std::string& what : world.ledger().violations())
        caught =
            caught || what.find("duplicate") != std::string::npos || what.find("paid") != std::string::npos;
    CHECK(caught);
}

TEST_CASE("an agent out of descriptors goes on, and has them back") {
    WorldPlan plan = plan_of(9);
    plan.agents = 1;
    plan.servers = plan.cells = 30;
    plan.copies = 30;
    plan.agent_descriptors = 32;
    SimWorld world(plan);
    world.run_for(30);
    world.finish();
    CHECK_GT(world.ledger().sums().answered, 10);
    CHECK(world.ledger().violations().empty());
}
