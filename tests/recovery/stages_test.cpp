// The order in which service returns: each row of the table, its bounds, and every order of what may be seen
// up to a length.
#include <doctest/doctest.h>

#include <limits>
#include <string>
#include <vector>

#include "recovery/stages.h"

using namespace jasperspread::recovery;

namespace {

constexpr double all = std::numeric_limits<double>::infinity();
constexpr Order staged[] = {Order::Delay, Order::Strict, Order::Alone, Order::Fleet};

Seen seen(bool scope, bool list, bool answers, bool pressed = false, double others = 0) {
    Seen one;
    if (scope) one.scope = Scope::All;
    one.list_known = list;
    one.server_answers = answers;
    one.pressed = pressed;
    one.others_pressed = others;
    return one;
}

// What is seen, as one of 32.
Seen seen(int bits) {
    return seen((bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0, (bits & 16) != 0 ? 1 : 0);
}

double longest(const Settings& set) {
    return set.ask_s + set.list_s + set.probe_s + set.paid_s + set.rest_s + set.delay_s;
}

// Plays one order, a step a second, and then nothing that would end a stage; what is wrong, or nothing.
std::string wrong(const Settings& set, Order order, const std::vector<int>& steps, double bound) {
    Stages stages(set, order, true, 100);
    double now = 100;
    Stage before = stages.stage();
    const auto step = [&](const Seen& one) {
        stages.step(one, now += 1);
        if (stages.stage() < before) return "it went back";
        before = stages.stage();
        const Let let = stages.let();
        if (stages.stage() == Stage::Ordinary && !(let == Let{})) return "somebody is held back for ever";
        if (let.rest > let.paid && stages.stage() != Stage::Probing) return "others come before the paid";
        return "";
    };
    for (const int bits : steps) {
        if (const char* what = step(seen(bits)); *what != '\0') return what;
    }
    while (now < 100 + bound + static_cast<double>(steps.size())) {
        if (const char* what = step(seen(false, false, false, true, 1)); *what != '\0') return what;
    }
    return stages.stage() == Stage::Ordinary ? "" : "it never ended";
}

std::size_t broken(const Settings& set, std::size_t& orders) {
    std::size_t count = 0;
    constexpr int kinds = 32;
    for (const Order order : staged) {
        for (int number = 0; number < kinds * kinds * kinds; ++number) {
            ++orders;
            count += wrong(set, order, {number % kinds, number / kinds % kinds, number / kinds / kinds},
                           longest(Settings{}))
                             .empty()
                         ? 0
                         : 1;
        }
    }
    return count;
}

}  // namespace

TEST_CASE("stages: who has not lost power, or does not want them, has none") {
    CHECK_EQ(Stages({}, Order::Off, true, 0).stage(), Stage::Ordinary);
    CHECK_EQ(Stages({}, Order::Strict, false, 0).stage(), Stage::Ordinary);
    for (const Scope scope : {Scope::Process, Scope::Machine}) {
        Stages stages({}, Order::Strict, true, 0);
        Seen one;
        one.scope = scope;
        stages.step(one, 0.1);
        CHECK_EQ(stages.stage(), Stage::Ordinary);
    }
}

TEST_CASE("stages: strictly, each lets in what its row says and ends by what its row says") {
    const Settings set;
    Stages stages(set, Order::Strict, true, 0);
    double now = 0;
    const auto expect = [&](Stage stage, double paid, double rest) {
        INFO(std::string(name_of(stage)));
        CHECK_EQ(stages.stage(), stage);
        CHECK_EQ(stages.let(), Let{paid, rest});
    };
    expect(Stage::Asking, 0, 0);
    stages.step(seen(true, false, false), now += 0.5);
    expect(Stage::Listing, 0, 0);
    stages.step(seen(true, true, false), now += 0.5);
    expect(Stage::Probing, 0, set.rest_from);  // which may be sent again, should the server be dead
    stages.step(seen(true, true, true), now += 0.5);
    expect(Stage::Paid, all, 0);
    stages.step(seen(true, true, true, true), now += 2);
    expect(Stage::Paid, all, 0);  // they are still turned away
    stages.step(seen(true, true, true), now += 0.5);
    expect(Stage::Rest, all, set.rest_from);
    stages.step(seen(true, true, true, true), now += 1);
    expect(Stage::Rest, all, set.rest_from);
    Seen calm = seen(true, true, true);
    calm.rest_asked = 5;
    stages.step(calm, now += 1);
    expect(Stage::Rest, all, 2 * set.rest_from);
    for (int i = 0; i < 4; ++i) stages.step(calm, now += 1);
    expect(Stage::Ordinary, all, all);
}

TEST_CASE("stages: gently, others are held back while the paid are turned away, here or anywhere") {
    const Settings set;
    Seen one = seen(true, true, true, true);
    one.rest_asked = 8;
    for (const Order order : {Order::Alone, Order::Fleet}) {
        Stages stages(set, order, true, 0);
        CHECK_EQ(stages.let(), Let{all, all});
        stages.step(one, 1);
        CHECK_EQ(stages.let(), Let{all, 9});  // half of twice those who ask, and a little
        stages.step(one, 2);
        CHECK_EQ(stages.let(), Let{all, 4.5});
        // Elsewhere they are still turned away: only who heeds that holds on.
        Seen elsewhere = one;
        elsewhere.pressed = false;
        elsewhere.others_pressed = 0.5;
        stages.step(elsewhere, 3);
        CHECK_EQ(stages.let().rest, order == Order::Alone ? 9 : 2.25);
        one.pressed = false;
        for (double now = 4; now < 14; ++now) stages.step(one, now);
        CHECK_EQ(stages.stage(), Stage::Ordinary);
        one.pressed = true;
    }
}

TEST_CASE("stages: a process that stood still makes up for it in one step") {
    const Settings set;
    Stages stages(set, Order::Strict, true, 0);
    stages.step(seen(8), set.ask_s + set.list_s + set.probe_s + 2);
    CHECK_EQ(stages.stage(), Stage::Paid);
    CHECK_EQ(stages.since(), set.ask_s + set.list_s + set.probe_s);
    stages.step(seen(0), longest(set) + 1);
    CHECK_EQ(stages.stage(), Stage::Ordinary);
}

TEST_CASE("stages: every order of three seconds ends in ordinary service, in bounds, and never goes back") {
    std::size_t orders = 0;
    CHECK_EQ(broken({}, orders), 0);
    CHECK_EQ(orders, 4 * 32768);
}

TEST_CASE("stages: a stage without a bound is found out") {
    Settings unbound;
    unbound.list_s = 1e9;
    std::size_t orders = 0;
    CHECK_GT(broken(unbound, orders), 0);
}

TEST_CASE("pressure: a part of those who asked was turned away lately, and more than one by chance") {
    Pressure pressure(0);
    pressure.told(10, 1, 0.5);
    CHECK_FALSE(pressure.pressed());
    pressure.told(20, 9, 1.0);
    CHECK(pressure.pressed());
    CHECK_GT(pressure.asked_per_s(), 10);
    pressure.told(20, 9, 6.0);
    CHECK_FALSE(pressure.pressed());
    CHECK_LT(pressure.asked_per_s(), 1);
    pressure.told(21, 10, 5.0);  // a clock that stepped back changes nothing
    CHECK_FALSE(pressure.pressed());
}

TEST_CASE("scope: in a large fleet some answers are enough") {
    ScopeFinder finder({6, 3, 4}, "a", "new", "old", 1, 299, 100);
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(finder.settled(100.5));
        finder.told("n" + std::to_string(i), {i < 2 ? "a" : "b", i < 2 ? 1.0 : 500.0}, 100.5);
    }
    CHECK(finder.settled(100.5));
    CHECK_EQ(finder.scope(), Scope::Building);
}

TEST_CASE("scope: that all died is believed only once all have told, or the wait is over") {
    ScopeFinder finder({6, 3, 4}, "a", "new", "old", 1, 3, 100);
    finder.told("n1", {"b", 1}, 100.5);
    finder.told("n2", {"a", 1}, 100.5);
    CHECK_FALSE(finder.settled(100.5));  // most have, but one may have kept power
    ScopeFinder waited = finder;
    CHECK(waited.settled(103));
    CHECK_EQ(waited.scope(), Scope::All);
    finder.told("n3", {"b", 500}, 100.6);
    CHECK(finder.settled(100.6));
    CHECK_EQ(finder.scope(), Scope::Building);
}
