// What docs/CAPACITY.md multiplies by the size, held to by counts that come out the same in each run: calls,
// descriptors asked about, messages, bytes, and heap.
#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>

#include "agent/config.h"
#include "agent/directory.h"
#include "codec/message.h"
#include "lab/sim/talk_world.h"
#include "lab/slopes/heap.h"
#include "lab/slopes/slope.h"
#include "tests/lab/counted_world.h"

using namespace lab;

namespace {

constexpr int few_resting = 1, many_resting = 1000, events = 10;

struct PerEvent {
    double calls = 0, poll_entries = 0, bytes_sent = 0;
};

PerEvent per_event(const KernelCounts::Values& counts, int times) {
    return {static_cast<double>(counts.calls) / times, static_cast<double>(counts.poll_entries) / times,
            static_cast<double>(counts.bytes_sent) / times};
}

// The same event beside few connections and beside many.
void check_same_beside_many(const std::function<PerEvent(CountedWorld&)>& measure) {
    CountedWorld world(1);
    world.rest(few_resting);
    const PerEvent few = measure(world);
    world.rest(many_resting);
    const PerEvent many = measure(world);
    CHECK_GT(few.calls, 0);
    constexpr double most = 1.2, timers = 2;  // turns for timers that happen to fall into one of them
    CHECK_LE(many.calls, most * few.calls + timers);
    CHECK_LE(many.poll_entries, most * few.poll_entries + timers);
    CHECK_LE(many.bytes_sent, most * few.bytes_sent);
}

Slope line_of(const std::string& name, const std::vector<Point>& points) {
    Slope slope;
    slope.name = name;
    slope.points = points;
    fit_line(slope);
    return slope;
}

double heap() {
    return static_cast<double>(heap_bytes());
}

}  // namespace

TEST_CASE("a set-up makes no more work beside a thousand resting connections") {
    check_same_beside_many([](CountedWorld& world) {
        return per_event(world.counted([&] {
            for (int i = 0; i < events; ++i) {
                const int wanted = world.viewers().released + 1;
                world.viewers().ask(true);
                world.run_until([&] { return world.viewers().released >= wanted; });
            }
        }),
                         events);
    });
}

TEST_CASE("an accept makes no more work beside a thousand resting connections") {
    check_same_beside_many([](CountedWorld& world) {
        return per_event(world.counted([&] {
            for (int i = 0; i < events; ++i) world.rest(1);
        }),
                         events);
    });
}

TEST_CASE("a close makes no more work beside a thousand resting connections") {
    check_same_beside_many([](CountedWorld& world) {
        world.rest(events);
        return per_event(world.counted([&] {
            for (int i = 0; i < events; ++i) {
                const int wanted = world.viewers().left_connections + 1;
                world.viewers().close_one();
                world.run_until([&] { return world.viewers().left_connections >= wanted; });
            }
        }),
                         events);
    });
}

TEST_CASE("an end that is told makes no more work beside a thousand resting connections") {
    check_same_beside_many([](CountedWorld& world) {
        for (int i = 0; i < events; ++i) world.viewers().ask(false);
        world.run_until([&] { return world.server().sessions() >= events; });
        return per_event(world.counted([&] {
            for (int i = 0; i < events; ++i) {
                const int wanted = world.viewers().ended + 1;
                world.server().end_one();
                world.run_until([&] { return world.viewers().ended >= wanted; });
            }
        }),
                         events);
    });
}

TEST_CASE("an event that many viewers hear of costs each of them the same calls, however many they are") {
    const auto calls_each = [](int viewers) {
        CountedWorld world(1);
        world.rest(viewers - 1);
        for (int i = 0; i < viewers; ++i) world.viewers().ask(false, true);
        world.run_until([&] { return world.viewers().answered >= viewers; });
        const auto counts = world.counted([&] { world.server().end_all(); });
        CHECK_EQ(world.viewers().ended, viewers);
        return static_cast<double>(counts.calls) / viewers;
    };
    const double few = calls_each(50), many = calls_each(400);
    CHECK_GE(many, 1);  // each viewer is written to
    CHECK_LE(many, 1.2 * few);
}

TEST_CASE("a list event is as many bytes and calls whatever is listed, and makes an agent say nothing") {
    const auto told = [](int servers) {
        CountedWorld world(servers);
        std::size_t bytes = 0;
        const auto counts = world.counted([&] {
            Member other = world.members().back();
            other.phase = "draining";
            bytes = world.feed().tell(world.plan(), false, {other});
        });
        CHECK_EQ(counts.bytes_sent, 0);
        return std::pair(static_cast<double>(bytes), static_cast<double>(counts.calls));
    };
    const auto [few_bytes, few_calls] = told(10);
    const auto [many_bytes, many_calls] = told(800);
    constexpr double longest = 300, digits = 8;  // numbers of servers and addresses have more digits
    CHECK_LE(few_bytes, longest);
    CHECK_LE(many_bytes, few_bytes + digits);
    CHECK_LE(many_calls, few_calls + 2);
}

TEST_CASE("a whole list is so many bytes for each server, and an agent keeps so many of each") {
    std::vector<Point> bytes, kept;
    const auto nowhere = *jasperspread::net::parse_address("127.0.0.1:9");
    for (const int servers : {100, 300, 500, 700, 900}) {
        const WorldPlan plan = roomy_plan(servers);
        std::vector<Member> members;
        members.reserve(static_cast<std::size_t>(servers));
        for (int server = 0; server < servers; ++server) members.push_back({server, nowhere, "up", 0});
        const auto event = feed_event(plan, 2, true, members);
        bytes.push_back({static_cast<double>(servers), static_cast<double>(event.dump().size())});
        const auto profile =
            jasperspread::agent::read_config(roomy_config(plan, nowhere, nowhere, {}).dump()).profile;
        const double before = heap();
        jasperspread::agent::ServerDirectory directory;
        cinderfront::Controller module(profile.settings, 1);
        std::vector<cinderfront::Action> actions;
        module.handle(1e9, directory.apply(jasperspread::agent::read_change(event, profile)), actions);
        kept.push_back({static_cast<double>(servers), heap() - before});
    }
    constexpr double most_told = 140, most_kept = 1500;
    CHECK_LE(line_of("bytes of a whole list for a server", bytes).high, most_told);
    CHECK_GT(line_of("heap for a server", kept).low, 0);
    CHECK_LE(line_of("heap for a server", kept).high, most_kept);
}

TEST_CASE("a session that stands, and a connection that rests, take so much of the heap and no more") {
    std::vector<Point> sessions, connections;
    CountedWorld world(1);
    for (const int held : {100, 200, 300, 400, 500}) {
        for (int i = 0; i < 100; ++i) world.viewers().ask(false);
        world.run_until([&] { return world.viewers().answered >= held; });
        world.run_for(1);
        sessions.push_back({static_cast<double>(held), heap()});
    }
    for (const int held : {100, 200, 300, 400, 500}) {
        world.rest(100);
        world.run_for(1);
        connections.push_back({static_cast<double>(held), heap()});
    }
    // With what the simulated server, viewers and sockets keep of each, at both ends.
    constexpr double most_of_a_session = 2000, most_of_a_connection = 5900;
    CHECK_GT(line_of("heap for a session", sessions).low, 0);
    CHECK_LE(line_of("heap for a session", sessions).high, most_of_a_session);
    CHECK_GT(line_of("heap for a connection", connections).low, 0);
    CHECK_LE(line_of("heap for a connection", connections).high, most_of_a_connection);
}

TEST_CASE("an agent's talk grows with the fleet as slowly as the page says, in messages, bytes and heap") {
    std::vector<Point> messages, bytes, kept;
    for (const int agents : {40, 70, 100, 130, 160}) {
        const double before = heap();
        TalkWorld world(agents, 7);
        for (int look = 0; look < 240 && !world.all_agree(); ++look) world.run_for(0.25);
        REQUIRE(world.all_agree());
        const auto sent = static_cast<double>(world.sent());
        const auto sent_bytes = static_cast<double>(world.sent_bytes());
        constexpr double quiet_s = 10;
        world.run_for(quiet_s);
        const double shares = quiet_s * agents;
        messages.push_back(
            {static_cast<double>(agents), (static_cast<double>(world.sent()) - sent) / shares});
        bytes.push_back(
            {static_cast<double>(agents), (static_cast<double>(world.sent_bytes()) - sent_bytes) / shares});
        kept.push_back({static_cast<double>(agents), (heap() - before) / agents});
        CHECK_EQ(world.false_deaths(), 0);
    }
    // For each agent more: the messages follow the logarithm of the fleet, so that the slope falls with it.
    constexpr double most_messages = 0.03, most_bytes = 13, most_kept = 700;
    CHECK_LE(line_of("messages a second", messages).slope, most_messages);
    CHECK_LE(line_of("bytes a second", bytes).slope, most_bytes);
    CHECK_GT(line_of("heap for an agent", kept).low, 0);
    CHECK_LE(line_of("heap for an agent", kept).slope, most_kept);
}
