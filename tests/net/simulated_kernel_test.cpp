// The simulated kernel's interest lists: a whole world runs by them bit for bit as it does by poll(2).
#include <doctest/doctest.h>

#include "lab/sim/sim_world.h"
#include "stage.h"

using namespace net_test;

namespace {

std::uint64_t trace_of(std::uint64_t seed, const Poller::Thresholds& thresholds) {
    lab::WorldPlan plan;
    plan.seed = seed;
    plan.agents = 6;
    plan.servers = plan.cells = 10;
    plan.agents_hand_over = true;
    lab::SimWorld world(plan, {}, thresholds);
    world.network().set_short_io(0.1);
    world.run_for(8);
    world.squeeze(2, 0.3);
    world.freeze_server(4, true);
    world.run_for(3);
    world.freeze_server(4, false);
    world.kill_server(5, 1.0);
    world.kill_agent(1);
    world.run_for(4);
    world.finish();
    CHECK(world.ledger().violations().empty());
    return world.trace();
}

}  // namespace

TEST_CASE("a simulated world runs the same by poll, by interest lists, and between both") {
    const std::uint64_t first = trace_of(7, by_poll.thresholds);
    CHECK_EQ(trace_of(7, by_interest_list.thresholds), first);
    CHECK_EQ(trace_of(7, {12, 8}), first);
    CHECK_NE(trace_of(8, by_interest_list.thresholds), first);
}
