// What the planner begins, and what it leaves alone.
#include <doctest/doctest.h>

#include <algorithm>

#include "handover/planner.h"

using namespace jasperspread::handover;

namespace {

std::vector<Standing> sessions_at(ServerNumber server, SessionNumber first, int count, bool leaving = false) {
    std::vector<Standing> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) list.push_back({first + static_cast<SessionNumber>(i), server, leaving});
    return list;
}

Settings eager() {
    Settings settings;
    settings.out_of_source = 100;
    settings.into_target = 100;
    settings.moves_per_minute = 1000;
    return settings;
}

}  // namespace

TEST_CASE("sessions at a sound server are left alone, those at a short or leaving one are asked about") {
    Planner planner(eager(), 0, 1);
    CHECK(planner.look(sessions_at(1, 10, 20), 1).empty());
    planner.noted(1, 0.5, 2);
    CHECK_EQ(planner.look(sessions_at(1, 10, 20), 2.1).size(), 10);  // about the part that is missing
    CHECK_EQ(planner.look(sessions_at(2, 50, 20, true), 2.2).size(), 20);
    CHECK(planner.look(sessions_at(1, 10, 20), 9).empty());  // the note is old
}

TEST_CASE("what all agents hear at once is spread over the time until the next notes") {
    int asked = 0;
    constexpr int agents = 400;
    for (std::uint64_t agent = 0; agent < agents; ++agent) {
        Planner planner(eager(), 2.0, agent);
        planner.noted(1, 0.5, 0);
        asked += static_cast<int>(planner.look(sessions_at(1, 10, 1), 0.1).size());
    }
    CHECK_LT(asked, agents / 4);  // an eighth is expected: a quarter of a second of two
    CHECK_GT(asked, agents / 20);
}

TEST_CASE("a move must be worth its price, and limits and back-off hold") {
    Settings settings;
    settings.out_of_source = 3;
    settings.into_target = 2;
    settings.moves_per_minute = 4;
    Planner planner(settings, 0, 1);
    const auto offer = [](SessionNumber session, ServerNumber target, double gain) {
        return Offer{session, 1, target, gain, 2.0};
    };
    CHECK_FALSE(planner.accept(offer(1, 7, 0.05), 0));  // under the least gain
    REQUIRE(planner.accept(offer(1, 7, 1), 0));
    planner.began(offer(1, 7, 1), 0);
    CHECK_FALSE(planner.accept(offer(1, 8, 1), 0));  // it is under way
    REQUIRE(planner.accept(offer(2, 7, 1), 0));
    planner.began(offer(2, 7, 1), 0);
    CHECK_FALSE(planner.accept(offer(3, 7, 1), 0));  // two into one target
    REQUIRE(planner.accept(offer(3, 8, 1), 0));
    planner.began(offer(3, 8, 1), 0);
    CHECK_FALSE(planner.accept(offer(4, 9, 1), 0));  // three out of one source
    planner.over(1, Step::Stayed, true, 1);
    CHECK_FALSE(planner.accept(offer(5, 7, 1), 1.1));  // the target failed just now
    REQUIRE(planner.accept(offer(5, 9, 1), 1.1));
    planner.began(offer(5, 9, 1), 1.1);
    planner.over(5, Step::Moved, false, 2);
    CHECK_FALSE(planner.accept(offer(6, 9, 1), 3));  // four in a minute
    CHECK(planner.accept(offer(6, 9, 1), 65));
}

TEST_CASE("a target that fails again and again is left alone for longer, up to a bound") {
    Settings settings = eager();
    Planner planner(settings, 0, 1);
    const Offer offer{1, 1, 7, 2, 2};
    double now = 0, last = 0;
    for (int i = 0; i < 10; ++i) {
        planner.began(offer, now);
        planner.over(1, Step::Stayed, true, now);
        const double failed = now;
        while (!planner.accept(offer, now)) now += 0.1;
        last = now - failed;
        CHECK_LE(last, settings.back_off_most_s * 1.5 + 0.2);
    }
    CHECK_GT(last, settings.back_off_most_s / 2 - 0.2);
}

TEST_CASE("a session that was moved rests, and none is moved once the agent is to end") {
    Planner planner(eager(), 0, 1);
    planner.noted(1, 0.1, 0);
    const Offer offer{10, 1, 7, 2, 2};
    planner.began(offer, 0);
    planner.over(10, Step::Moved, false, 0);
    planner.noted(7, 0.1, 5);
    CHECK(planner.look(sessions_at(7, 10, 1), 5).empty());
    planner.noted(7, 0.1, 31);
    CHECK_EQ(planner.look(sessions_at(7, 10, 1), 31).size(), 1);
    planner.stop();
    CHECK(planner.look(sessions_at(7, 10, 1), 31).empty());
    CHECK_FALSE(planner.accept(offer, 31));
}
