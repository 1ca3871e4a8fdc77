// What died, what is trusted, and what becomes of it when others say otherwise: each row of the tables.
#include <doctest/doctest.h>

#include <string>

#include "recovery/trust.h"

using namespace jasperspread::recovery;

namespace {

constexpr Trust fact = Trust::Fact, hint = Trust::Hint, none = Trust::Void;
constexpr Scope scopes[] = {Scope::Process, Scope::Machine, Scope::Building, Scope::All};

Memory memory_of(Thing thing, std::optional<double> age, bool here = false) {
    return {thing, age, here, 60};
}

// Trust by scope, young; here and there for a building.
void row(Thing thing, Trust process, Trust machine, Trust here, Trust there, Trust all) {
    INFO(std::string(name_of(thing)));
    CHECK_EQ(trust(memory_of(thing, 1), Scope::Process), process);
    CHECK_EQ(trust(memory_of(thing, 1), Scope::Machine), machine);
    CHECK_EQ(trust(memory_of(thing, 1, true), Scope::Building), here);
    CHECK_EQ(trust(memory_of(thing, 1, false), Scope::Building), there);
    CHECK_EQ(trust(memory_of(thing, 1), Scope::All), all);
}

void never_ages(Thing thing) {
    for (const Scope scope : scopes) {
        for (const auto& age :
             {std::optional<double>(1e9), std::optional<double>(-5), std::optional<double>()})
            CHECK_EQ(trust(memory_of(thing, age), scope), trust(memory_of(thing, 1), scope));
    }
}

void ages_after(Thing thing, double most, Scope scope) {
    CHECK_NE(trust(memory_of(thing, most), scope), none);
    CHECK_EQ(trust(memory_of(thing, most + 0.1), scope), none);
    CHECK_EQ(trust(memory_of(thing, std::nullopt), scope), none);  // its age can't be known
    CHECK_EQ(trust(memory_of(thing, -1), scope), none);            // the clock stepped back
}

ScopeFinder finder(std::string_view remembered, double machine_s = 30, std::size_t peers = 6) {
    return {ScopeSettings{}, "annex", "boot-2", remembered, machine_s, peers, 1000};
}

}  // namespace

TEST_CASE("own incarnation") {
    row(Thing::Incarnation, fact, fact, fact, fact, fact), never_ages(Thing::Incarnation);
}
TEST_CASE("a paid set-up may have run, whatever died and however long ago") {
    row(Thing::PaidSetUp, fact, fact, fact, fact, fact);
    never_ages(Thing::PaidSetUp);
}
TEST_CASE("an outcome owed") {
    row(Thing::OwedOutcome, fact, fact, fact, fact, fact), never_ages(Thing::OwedOutcome);
}
TEST_CASE("the list's revision") {
    row(Thing::Revision, fact, fact, fact, fact, fact), never_ages(Thing::Revision);
}
TEST_CASE("the list is a hint for an hour") {
    row(Thing::List, hint, hint, hint, hint, hint);
    ages_after(Thing::List, 3600, Scope::All);
}
TEST_CASE("a session that stood is a hint where its server kept power, for its length") {
    row(Thing::Session, hint, hint, none, hint, none);
    ages_after(Thing::Session, 60, Scope::Process);
}
TEST_CASE("a set-up that may be sent again is forgotten") {
    row(Thing::FreeSetUp, none, none, none, none, none);
}
TEST_CASE("a server's health") {
    row(Thing::ServerHealth, hint, none, none, none, none);
    ages_after(Thing::ServerHealth, 20, Scope::Process);
}
TEST_CASE("when a server started, while it warms up and kept its power") {
    row(Thing::ServerStart, fact, fact, none, fact, none);
    ages_after(Thing::ServerStart, 60, Scope::Machine);
}
TEST_CASE("prices") {
    row(Thing::Price, hint, none, none, none, none);
    ages_after(Thing::Price, 8, Scope::Process);
}
TEST_CASE("a part of a budget is never spent from before") {
    row(Thing::BudgetPart, none, none, none, none, none);
}

TEST_CASE("the same boot: this process alone died, whatever others say") {
    auto one = finder("boot-2");
    CHECK(one.settled(1000));
    one.told("n1", {"annex", 5}, 1000);
    CHECK_EQ(one.scope(), Scope::Process);
}

TEST_CASE("another boot: who else came up with us tells machine, building and all apart") {
    const auto scope = [](double annex_1, double annex_2, double main_1, double main_2) {
        auto one = finder("boot-1");
        int number = 0;
        for (const double age : {annex_1, annex_2})
            one.told("a" + std::to_string(++number), {"annex", age}, 1001);
        for (const double age : {main_1, main_2})
            one.told("m" + std::to_string(++number), {"main-building", age}, 1001);
        return one.scope();
    };
    constexpr double kept = 90000, young = 20, slow = 100;
    CHECK_EQ(scope(kept, kept, kept, kept), Scope::Machine);
    CHECK_EQ(scope(young, slow, kept, kept), Scope::Building);
    CHECK_EQ(scope(kept, young, kept, kept),
             Scope::Building);  // half of the building: its servers too, perhaps
    CHECK_EQ(scope(young, young, kept, young), Scope::Building);
    CHECK_EQ(scope(young, young, slow, young), Scope::All);
    CHECK_EQ(scope(kept, kept, young, young), Scope::Machine);
}

TEST_CASE("with nobody to ask the worst is taken for true, after a bounded wait") {
    auto one = finder("boot-1");
    CHECK_FALSE(one.settled(1002.9));
    CHECK(one.settled(1003));
    CHECK_EQ(one.scope(), Scope::All);
    auto first = finder("");  // a new folder: nothing remembered
    CHECK_EQ(first.scope(), Scope::All);
}

TEST_CASE("most of those remembered settle it, and each peer has one vote") {
    auto one = finder("boot-1");
    for (int again = 0; again < 5; ++again) one.told("a1", {"annex", 90000}, 1000.1);
    CHECK_FALSE(one.settled(1000.1));
    one.told("a1", {"annex", 10}, 1000.2);  // its later word counts
    one.told("a2", {"annex", 10}, 1000.2);
    one.told("m1", {"main-building", 90000}, 1000.2);
    one.told("m2", {"main-building", 90000}, 1000.2);
    CHECK(one.settled(1000.2));
    CHECK_EQ(one.scope(), Scope::Building);
}

TEST_CASE("ages are differences: a late answer of one that came up with us is not taken for power kept") {
    auto one = finder("boot-1", 30, 1);
    one.told("a1", {"annex", 30 + 500}, 1500);  // both have been up for 500 s more by now
    CHECK_EQ(one.scope(), Scope::All);
}

TEST_CASE("a remembered session, by what its server, its viewer and other agents say") {
    using enum SessionDecision;
    const auto outcome = [](Trust trusted, ServerWord server, bool taken, bool elsewhere, bool waited) {
        return session_decision(trusted, {server, taken, elsewhere, waited});
    };
    using W = ServerWord;
    CHECK_EQ(outcome(hint, W::Silent, false, false, false), Ask);
    CHECK_EQ(outcome(hint, W::Silent, false, false, true), OverReleased);
    CHECK_EQ(outcome(hint, W::Plays, false, false, false), Keep);
    CHECK_EQ(outcome(hint, W::Plays, false, false, true), Keep);
    CHECK_EQ(outcome(hint, W::Holds, false, false, false), Ask);
    CHECK_EQ(outcome(hint, W::Unknown, false, false, false), Over);
    CHECK_EQ(outcome(none, W::Silent, false, false, false), Over);
    CHECK_EQ(outcome(none, W::Plays, false, false, false),
             OverReleased);  // nothing is left playing unheard of
    CHECK_EQ(outcome(hint, W::Plays, false, true, false), Release);
    CHECK_EQ(outcome(hint, W::Silent, false, true, false), Release);
    CHECK_EQ(outcome(hint, W::Unknown, false, true, false), Leave);
    // Nobody names it, and all who could hold it do not: released wherever it may play, unless it is
    // another's.
    for (const Trust trusted : {hint, none}) {
        CHECK_EQ(session_decision(trusted, {W::Plays, false, false, true, true}), Release);
        CHECK_EQ(session_decision(trusted, {W::Silent, false, false, true, true}), Release);
        CHECK_EQ(session_decision(trusted, {W::Unknown, false, false, true, true}), Over);
        CHECK_EQ(session_decision(trusted, {W::Plays, true, false, true, true}), Leave);
    }
    for (const W server : {W::Silent, W::Plays, W::Holds, W::Unknown}) {
        for (const bool elsewhere : {false, true}) {
            // Nothing is released that another agent holds.
            CHECK_EQ(outcome(hint, server, true, elsewhere, true), Leave);
            CHECK_EQ(outcome(none, server, true, elsewhere, true), Leave);
        }
    }
}

TEST_CASE("a paid set-up that may have run fails or is found standing: there is no other end") {
    using enum PaidDecision;
    using W = ServerWord;
    CHECK_EQ(paid_decision(W::Plays, true, false), Standing);
    CHECK_EQ(paid_decision(W::Plays, false, true), Released);
    CHECK_EQ(paid_decision(W::Unknown, true, false), Failed);
    CHECK_EQ(paid_decision(W::Silent, true, false), Ask);
    CHECK_EQ(paid_decision(W::Silent, true, true), Released);
    CHECK_EQ(paid_decision(W::Holds, true, false), Ask);
    CHECK_EQ(paid_decision(W::Holds, false, true), Released);
}

TEST_CASE("a feed that is behind is believed in what it takes away, and in nothing that it adds") {
    const auto may = [](std::uint64_t remembered, std::uint64_t feed, std::optional<bool> then,
                        std::optional<bool> now, bool waited = false, Trust trusted = hint) {
        return may_take_new(trusted, {remembered, feed, then, now, waited});
    };
    CHECK(may(7, 7, true, true));
    CHECK(may(7, 9, false, true));        // the feed is ahead: it counts
    CHECK_FALSE(may(7, 9, true, false));  // drained since
    CHECK_FALSE(may(7, 5, false, true));  // drained by what we remember, and the feed is old
    CHECK_FALSE(may(7, 5, std::nullopt, true));
    CHECK_FALSE(may(7, 5, true, false));
    CHECK_FALSE(may(7, 5, true, std::nullopt));  // only a server that the list names gets work
    CHECK(may(7, 5, true, true));
    CHECK(may(7, 5, false, true, true));         // it never caught up: a list that began anew
    CHECK(may(7, 5, false, true, false, none));  // what was remembered is void
}
