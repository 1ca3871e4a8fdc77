// Who is there: the real membership and its datagrams in a simulated network, with the faults that it must
// bear.
#include <doctest/doctest.h>

#include "lab/sim/talk_world.h"

using namespace lab;

namespace {

// Until all agree on who is there; gives how long that took, s, or -1.
double agreed_after(TalkWorld& world, double longest) {
    const double began = world.now();
    while (world.now() < began + longest) {
        if (world.all_agree()) return world.now() - began;
        world.run_for(0.1);
    }
    return -1;
}

}  // namespace

TEST_CASE("all find each other from a few seeds") {
    for (const int agents : {1, 2, 3, 10, 60}) {
        TalkWorld world(agents, 1);
        INFO(agents);
        CHECK_GE(agreed_after(world, 15), 0);
        CHECK_EQ(world.logged("died"), 0);
    }
}

TEST_CASE("two runs with a seed are the same") {
    const auto run = [](std::uint64_t seed) {
        TalkWorld world(12, seed, {}, {0.2, 0.1, 0.1, 1});
        world.run_for(20);
        return world.trace();
    };
    CHECK_EQ(run(3), run(3));
    CHECK_NE(run(3), run(4));
}

TEST_CASE("a process that dies is found out, and known again when it comes back") {
    TalkWorld world(12, 2);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.kill(5);
    CHECK_GE(agreed_after(world, 20), 1);
    CHECK_EQ(world.logged("died"), 11);
    world.run_for(5);
    world.start(5);
    CHECK_GE(agreed_after(world, 15), 0);
    CHECK_EQ(world.logged("returned"), 11);
    // Without a disk its incarnation is above that of its earlier life.
    CHECK_GT(world.peers(5)->membership().self().incarnation.number, 1);
    CHECK_EQ(world.false_deaths(), 0);
}

TEST_CASE("one that is back before it was found out is in a later life, and never counted as dead") {
    TalkWorld world(8, 3);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.kill(2);
    world.run_for(0.3);
    world.start(2);
    world.run_for(25);
    CHECK(world.all_agree());
    CHECK_EQ(world.logged("died"), 0);
    CHECK_EQ(world.logged("returned"), 7);
}

TEST_CASE("power fails for all at one instant: they find each other again, with nothing remembered") {
    TalkWorld world(20, 4);
    REQUIRE_GE(agreed_after(world, 15), 0);
    for (int agent = 0; agent < 20; ++agent) world.kill(agent);
    world.run_for(5);
    for (int agent = 0; agent < 20; ++agent) {
        world.run_for(0.7);  // in any order; the seeds are not the first
        world.start((agent * 7 + 5) % 20);
    }
    CHECK_GE(agreed_after(world, 20), 0);
    CHECK_EQ(world.false_deaths(), 0);
}

TEST_CASE("a process that stands still for a while judges nobody, and is not given up") {
    for (const double pause : {0.5, 2.0, 3.5}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            TalkWorld world(10, seed);
            REQUIRE_GE(agreed_after(world, 15), 0);
            world.stop(4, true);
            world.run_for(pause);
            world.stop(4, false);
            world.run_for(20);
            INFO(pause);
            CHECK_EQ(world.logged("died"), 0);
            CHECK(world.all_agree());
        }
    }
}

TEST_CASE("one that stood still for long was given up, and comes back by itself") {
    TalkWorld world(10, 6);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.stop(4, true);
    world.run_for(30);
    const std::size_t died = world.logged("died");
    CHECK_EQ(died, 9);
    world.stop(4, false);
    CHECK_GE(agreed_after(world, 15), 0);
    CHECK_EQ(world.logged("died"), died);  // it took nobody else for dead when it woke
}

TEST_CASE("links that lose, repeat, delay and reorder bring nobody down") {
    TalkWorld world(30, 7, {}, {0.2, 0.1, 0.1, 1.0});
    REQUIRE_GE(agreed_after(world, 30), 0);
    world.run_for(120);
    CHECK_EQ(world.false_deaths(), 0);
    CHECK(world.all_agree());
}

TEST_CASE("a link that is down one way only is worked round with the help of others") {
    TalkWorld world(10, 8);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.network().cut_one_way(world.host(1), world.host(2), true);
    world.network().cut_one_way(world.host(3), world.host(1), true);
    world.run_for(60);
    CHECK_EQ(world.false_deaths(), 0);
    CHECK(world.all_agree());
}

TEST_CASE("a split is seen on both sides, and heals") {
    TalkWorld world(12, 9);
    REQUIRE_GE(agreed_after(world, 15), 0);
    const std::vector<int> part = {3, 4, 5, 6};  // without a seed
    world.split(part, true);
    world.run_for(40);
    CHECK_EQ(world.peers(0)->membership().present(), 8);
    CHECK_EQ(world.peers(4)->membership().present(), 4);
    world.split(part, false);
    CHECK_GE(agreed_after(world, 40), 0);
}

TEST_CASE("one that is cut off alone finds that out") {
    TalkWorld world(9, 10);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.split({7}, true);
    world.run_for(120);
    CHECK_EQ(world.peers(7)->membership().present(), 1);
    CHECK_EQ(world.peers(0)->membership().present(), 8);
    world.split({7}, false);
    CHECK_GE(agreed_after(world, 60), 0);
}

TEST_CASE("leaving in order is no death") {
    TalkWorld world(10, 11);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.leave(3);
    CHECK_GE(agreed_after(world, 10), 0);
    world.run_for(30);
    CHECK_EQ(world.logged("died"), 0);
    CHECK_EQ(world.logged("left"), 9);
    world.start(3);
    CHECK_GE(agreed_after(world, 15), 0);
}

TEST_CASE("of two processes under one name just one stays") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        TalkWorld world(6, seed);
        REQUIRE_GE(agreed_after(world, 15), 0);
        const int twin = world.start_same_name(2);
        world.run_for(30);
        const bool first = world.peers(2)->membership().retired();
        const bool second = world.peers(twin)->membership().retired();
        CHECK_NE(first, second);
        CHECK_EQ(world.logged("name_taken"), 1);
        CHECK_EQ(world.peers(0)->membership().present(), 6);
        CHECK_EQ(world.logged("died"), 0);
    }
}

TEST_CASE("what is remembered is bounded: the dead are forgotten") {
    jasperspread::fleet::Settings settings;
    settings.forget_s = 20;
    settings.sync_s = 2;
    TalkWorld world(8, 12, settings);
    REQUIRE_GE(agreed_after(world, 15), 0);
    world.kill(6);
    world.run_for(60);
    for (int agent = 0; agent < 8; ++agent) {
        if (agent != 6) CHECK_EQ(world.peers(agent)->membership().members().count("n6"), 0);
    }
}
