// The hard cases of a hand-over, each caused on purpose in the simulated network, with the real agent.
#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "lab/broken/broken.h"
#include "lab/sim/sim_world.h"

using namespace lab;
using jasperspread::handover::Step;

namespace {

WorldPlan small_plan(std::uint64_t seed = 1) {
    WorldPlan plan = even_plan(seed, 1, 3, 6000);
    plan.racks = plan.zones = 1;
    plan.rack_part = 3;
    plan.arrivals_per_s = 0;
    plan.told_late = 0.2;
    plan.agents_hand_over = true;
    return plan;
}

struct Caught {
    jasperspread::agent::HandoverCoordinator::UnderWay move;
    int source = 0, target = 0;
};

// One attended lesson plays; its server's link is squeezed, and the world stops where its hand-over is at
// `step`.
struct Stage {
    SimWorld world;
    SessionId id = 0;
    explicit Stage(const WorldPlan& plan = small_plan(), double length_s = 60) : world(plan) {
        world.run_for(1);
        // NOLINTNEXTLINE(cppcoreguidelines-prefer-member-initializer): only once the world has run
        id = world.viewers(0).ask(0, length_s);
        world.run_for(2);
    }
    int place() {
        for (int server = 0; server < world.plan().servers; ++server) {
            if (world.server(server) != nullptr && world.server(server)->sessions() > 0) return server;
        }
        return -1;
    }
    std::optional<Caught> catch_at(Step step) {
        world.squeeze(place(), 0.05);
        constexpr double look_s = 0.00005;
        for (int i = 0; i < 200000; ++i) {
            world.run_for(look_s);
            const auto* handovers = world.agent(0)->sessions().handovers();
            for (const auto& move : handovers->under_way()) {
                if (move.step == step)
                    return Caught{move, static_cast<int>(move.source) - 1, static_cast<int>(move.target) - 1};
            }
        }
        return std::nullopt;
    }
    std::string verdict() {
        world.run_for(20);
        std::uint64_t reserved = 0;
        for (int server = 0; server < world.plan().servers; ++server) {
            const LessonServer* one = world.server(server);
            if (one != nullptr && !one->is_frozen()) reserved += one->reservations();
        }
        world.finish();
        if (reserved > 0) return "a reservation is left";
        if (!world.ledger().violations().empty()) return world.ledger().violations().front();
        const auto& sums = world.ledger().sums();
        if (sums.duplicate_setups > 0 || sums.double_payments > 0) return "set up twice";
        if (world.agent(0) != nullptr && world.agent(0)->sessions().handovers() != nullptr &&
            !world.agent(0)->sessions().handovers()->under_way().empty())
            return "a hand-over never ends";
        return "";
    }
};

const Step steps[] = {Step::Preparing, Step::Yielding, Step::Activating, Step::Confirming};

void at_every_step(const char* what, const std::function<void(SimWorld&, const Caught&)>& fault) {
    for (const Step step : steps) {
        Stage stage;
        const auto caught = stage.catch_at(step);
        const std::string when = std::string(what) + " while " + std::string(name_of(step));
        INFO(when);
        REQUIRE(caught);
        fault(stage.world, *caught);
        CHECK_EQ(stage.verdict(), "");
    }
}

}  // namespace

TEST_CASE("a squeezed session goes to another server with a gap that nobody sees") {
    Stage stage;
    const int before = stage.place();
    REQUIRE(stage.catch_at(Step::Confirming));
    stage.world.run_for(1);
    CHECK_NE(stage.place(), before);
    CHECK_EQ(stage.world.ledger().sums().moves, 1);
    CHECK_LT(stage.world.ledger().sums().worst_gap_ms, 20);
    CHECK_EQ(stage.world.viewers(0).watching(), 1);
    CHECK_EQ(stage.verdict(), "");
}

TEST_CASE("the target freezes for a moment, or for long") {
    for (const double lasts : {0.2, 1.0, 8.0}) {
        at_every_step("target frozen", [&](SimWorld& world, const Caught& caught) {
            world.freeze_server(caught.target, true);
            world.run_for(lasts);
            world.freeze_server(caught.target, false);
        });
    }
}

TEST_CASE("the source freezes for a moment, or for long") {
    for (const double lasts : {0.2, 1.0, 8.0}) {
        at_every_step("source frozen", [&](SimWorld& world, const Caught& caught) {
            world.freeze_server(caught.source, true);
            world.run_for(lasts);
            world.freeze_server(caught.source, false);
        });
    }
}

TEST_CASE("both freeze") {
    at_every_step("both frozen", [](SimWorld& world, const Caught& caught) {
        world.freeze_server(caught.source, true);
        world.freeze_server(caught.target, true);
        world.run_for(3);
        world.freeze_server(caught.target, false);
        world.run_for(0.5);
        world.freeze_server(caught.source, false);
    });
}

TEST_CASE("the target dies, and comes back empty") {
    at_every_step("target killed",
                  [](SimWorld& world, const Caught& caught) { world.kill_server(caught.target, 1.0); });
}

TEST_CASE("the source dies: the session goes on at the target where it had a place, or ends") {
    at_every_step("source killed",
                  [](SimWorld& world, const Caught& caught) { world.kill_server(caught.source, 1.0); });
}

TEST_CASE("the machine of the target vanishes, or that of the source") {
    at_every_step("target vanished",
                  [](SimWorld& world, const Caught& caught) { world.vanish_server(caught.target, true); });
    at_every_step("source vanished",
                  [](SimWorld& world, const Caught& caught) { world.vanish_server(caught.source, true); });
}

TEST_CASE("either server starts to drain") {
    at_every_step("source drains",
                  [](SimWorld& world, const Caught& caught) { world.drain_server(caught.source); });
    at_every_step("target drains",
                  [](SimWorld& world, const Caught& caught) { world.drain_server(caught.target); });
}

TEST_CASE("the link between agent and server is cut: what was sent comes late") {
    for (const double lasts : {0.4, 2.5, 6.0}) {
        at_every_step("target cut off", [&](SimWorld& world, const Caught& caught) {
            world.cut(0, caught.target, true);
            world.run_for(lasts);
            world.cut(0, caught.target, false);
        });
        at_every_step("source cut off", [&](SimWorld& world, const Caught& caught) {
            world.cut(0, caught.source, true);
            world.run_for(lasts);
            world.cut(0, caught.source, false);
        });
    }
}

TEST_CASE("the agent is killed: the reservation lapses, and nothing runs twice") {
    at_every_step("agent killed", [](SimWorld& world, const Caught&) { world.kill_agent(0); });
}

TEST_CASE("the agent is asked to end") {
    at_every_step("SIGTERM", [](SimWorld& world, const Caught&) { world.ask_agent_to_end(0); });
}

TEST_CASE("the agent stands still for a while") {
    at_every_step("agent stopped", [](SimWorld& world, const Caught&) {
        world.stop_agent(0, true);
        world.run_for(4);
        world.stop_agent(0, false);
    });
}

TEST_CASE("the viewer leaves in the middle") {
    for (const Step step : steps) {
        Stage stage;
        REQUIRE(stage.catch_at(step));
        stage.world.viewers(0).leave_all();
        stage.world.run_for(3);
        CHECK_EQ(stage.place(), -1);
        CHECK_EQ(stage.verdict(), "");
    }
}

TEST_CASE("after a hand-over, one that is called off hides no end") {
    WorldPlan plan = small_plan();
    plan.handover.rest_s = 0;
    Stage stage(plan, 15);
    REQUIRE(stage.catch_at(Step::Confirming));
    stage.world.run_for(1);
    const int home = stage.place();
    for (int server = 0; server < 3; ++server) {
        if (server != home) stage.world.freeze_server(server, true);
    }
    stage.world.squeeze(home, 0.05);
    stage.world.run_for(6);
    CHECK_GT(stage.world.agent(0)->sessions().handovers()->counts().stayed, 0);
    stage.world.run_for(10);
    CHECK_EQ(stage.world.viewers(0).watching(), 0);  // it heard of the end
    CHECK_EQ(stage.verdict(), "");
}

TEST_CASE("the session ends by itself around its hand-over") {
    for (int i = 0; i < 60; ++i) {
        Stage stage(small_plan(), 3.3 + 0.013 * i);
        stage.world.squeeze(stage.place(), 0.05);
        CHECK_EQ(stage.verdict(), "");
        CHECK_EQ(stage.place(), -1);
    }
}

TEST_CASE("all links are squeezed: nothing is gained, nothing moves") {
    Stage stage;
    for (int server = 0; server < 3; ++server) stage.world.squeeze(server, 0.05);
    for (int other = 0; other < 6; ++other) stage.world.viewers(0).ask(1, 60);
    stage.world.run_for(10);
    CHECK_EQ(stage.world.ledger().sums().moves, 0);
}

TEST_CASE("two agents aim at the last room of one target: it is not pushed over") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        WorldPlan plan = small_plan(seed);
        plan.agents = 2;
        plan.servers = plan.cells = plan.copies = 2;
        plan.link_kb = 2600;  // one of the two sessions and a half
        SimWorld world(plan);
        world.run_for(1);
        world.viewers(0).ask(0, 60);
        world.run_for(1);
        world.viewers(1).ask(0, 60);
        world.run_for(2);
        for (int server = 0; server < 2; ++server) world.squeeze(server, 0.6);
        world.run_for(10);
        for (int server = 0; server < 2; ++server)
            CHECK_LE(world.server(server)->fill_after_move_most(), 1.0);
        CHECK(world.ledger().violations().empty());
    }
}

namespace {

// Many sessions at a server whose link is cut down, and one other that is there, just started. Gives what
// came of the moves into it.
Ledger::Sums moves_into_a_cold_server(
    int agents, const std::function<std::unique_ptr<jasperspread::agent::Between>()>& how) {
    WorldPlan plan = small_plan();
    plan.agents = agents;
    plan.servers = plan.cells = plan.copies = 2;
    plan.link_kb = 400000;
    plan.places = 60;
    plan.cold.fall_multiple = 1.5;  // the cold server bears 9 set-ups and moves in three seconds at first
    plan.handover.moves_per_minute = 6000;
    plan.handover.out_of_source = 100;
    plan.handover.into_target = 100;
    SimWorld world(plan);
    if (how) {
        world.break_agents(how);
        for (int agent = 0; agent < agents; ++agent) world.kill_agent(agent);
    }
    world.run_for(20);  // an agent that has just started takes all for cold
    world.kill_server(1, std::nullopt);
    world.run_for(1);
    for (int i = 0; i < 56; ++i) {
        world.viewers(i % agents).ask(0, 100);
        world.run_for(0.05);
    }
    world.start_server_again(1);
    world.squeeze(0, 0.02);
    world.run_for(14);
    return world.ledger().sums();
}

}  // namespace

TEST_CASE("a target that comes back cold is not given more than it bears by moves") {
    for (const int agents : {1, 4}) {
        const auto sums = moves_into_a_cold_server(agents, nullptr);
        INFO(agents);
        MESSAGE(agents << " agents: " << sums.moves << " moves");
        CHECK_EQ(sums.cold_pushed_over, 0);
        CHECK_GE(sums.moves, 4);
    }
    // With agents that take it for warm the judge sees it: the check can fail.
    const auto flooded =
        moves_into_a_cold_server(1, [] { return std::make_unique<Broken>(Fault::ColdFlooded); });
    MESSAGE("flooded: " << flooded.moves << " moves, " << flooded.cold_pushed_over
                        << " beyond what it bears");
    CHECK_GT(flooded.cold_pushed_over, 0);
}

TEST_CASE("tickets that are forged, of another key or for another server are turned away and counted") {
    WorldPlan plan = small_plan();
    Stage stage(plan);
    const auto caught = stage.catch_at(Step::Confirming);
    REQUIRE(caught);
    CHECK_EQ(stage.world.server(caught->target)->turned_away().forged, 0);
    // An agent with another key: every PREPARE is turned away, and the session stays where it is.
    SimWorld other(plan);
    other.with_key(std::string(64, 'a') + "\n");
    other.kill_agent(0);
    other.run_for(2);
    other.viewers(0).ask(0, 60);
    other.run_for(2);
    for (int server = 0; server < 3; ++server) {
        if (other.server(server)->sessions() > 0) other.squeeze(server, 0.05);
    }
    other.run_for(6);
    std::uint64_t forged = 0;
    for (int server = 0; server < 3; ++server) forged += other.server(server)->turned_away().forged;
    CHECK_GT(forged, 0);
    CHECK_EQ(other.ledger().sums().moves, 0);
}

TEST_CASE("a key is changed while sessions play: both keys are taken, then the new one signs") {
    Stage stage(small_plan(), 300);
    const std::string fresh(64, 'b');
    stage.world.agent(0)->hand_over({stage.world.plan().handover, fresh + "\n" + ticket_key()});
    CHECK_THROWS(stage.world.agent(0)->hand_over({stage.world.plan().handover, "no key"}));
    stage.world.squeeze(stage.place(), 0.05);
    stage.world.run_for(6);
    // The servers know the old key only: what the new one signs is turned away, and the session plays on.
    CHECK_EQ(stage.world.ledger().sums().moves, 0);
    stage.world.agent(0)->hand_over({stage.world.plan().handover, ticket_key()});
    stage.world.squeeze(stage.place(), 0.01);  // its rung is at the least meanwhile, which was relief enough
    stage.world.run_for(100);                  // targets that turned it away are left alone for a while
    CHECK_GE(stage.world.ledger().sums().moves, 1);
    CHECK_EQ(stage.verdict(), "");
}

TEST_CASE("asked to end in the middle of many hand-overs, the agent ends in time and leaves nothing") {
    WorldPlan plan = small_plan();
    plan.link_kb = 60000;
    plan.handover.out_of_source = 50;
    plan.handover.into_target = 50;
    SimWorld world(plan);
    world.run_for(1);
    for (int i = 0; i < 40; ++i) world.viewers(0).ask(0, 60);
    world.run_for(2);
    world.squeeze(0, 0.05);
    for (int i = 0; i < 100000 && world.agent(0)->sessions().handovers()->under_way().empty(); ++i)
        world.run_for(0.0001);
    REQUIRE_FALSE(world.agent(0)->sessions().handovers()->under_way().empty());
    world.viewers(0).stop_arrivals();  // nobody comes again
    world.ask_agent_to_end(0);
    constexpr double longest_s = 3.4 + 0.2;  // the stay after SIGTERM, and the last words
    world.run_for(longest_s);
    std::size_t left = 0;
    world.run_for(6);
    for (int server = 0; server < 3; ++server) left += world.server(server)->sessions();
    CHECK_EQ(left, 0);
    CHECK(world.ledger().violations().empty());
}

TEST_CASE("servers that don't announce the feature are left alone") {
    WorldPlan plan = small_plan();
    plan.servers_hand_over = false;
    Stage stage(plan);
    stage.world.squeeze(stage.place(), 0.05);
    stage.world.run_for(10);
    CHECK_EQ(stage.world.ledger().sums().moves, 0);
    CHECK_EQ(stage.verdict(), "");
}
