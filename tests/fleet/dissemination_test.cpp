// What one member tells on, how often and to whom: one Membership alone, spoken to by a test.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/membership.h"

using namespace jasperspread::fleet;

namespace {

constexpr int members = 300;
constexpr double start_s = 100;

Name name_at(int number) {
    return "n" + std::to_string(number);
}
Address address_at(int number) {
    return "127.0.0.1:" + std::to_string(3000 + number);
}
Incarnation first_incarnation(int number) {
    return {1, static_cast<std::uint64_t>(number) + 1000};
}
MemberRecord record_of(int number, Health health, std::uint64_t incarnation = 1) {
    MemberRecord record{name_at(number), address_at(number), first_incarnation(number), health};
    record.incarnation.number = incarnation;
    return record;
}

// The member under test, "own", and the others, of which each says what a test makes it say.
struct Talk {
    Membership own{Settings{}, MemberRecord{"own", "127.0.0.1:2999", {1, 5}, Health::Alive}, 7, start_s};
    double now = start_s;

    std::vector<Outgoing> hear(int from, Kind kind, const std::vector<MemberRecord>& updates = {},
                               std::uint64_t number = 1) {
        Message message;
        message.kind = kind;
        message.number = number;
        message.updates = updates;
        return own.heard(name_at(from), address_at(from), first_incarnation(from), message, now);
    }
    // All members, from the first one, in as many lists as it takes.
    void hear_list(std::uint64_t incarnation = 1) {
        std::vector<MemberRecord> records;
        for (int number = 0; number < members; ++number) {
            records.push_back(record_of(number, Health::Alive, number == 0 ? 1 : incarnation));
            if (records.size() < updates_most && number + 1 < members) continue;
            hear(0, Kind::List, records);
            records.clear();
        }
    }
    // How many of so many answers to pings hold this update.
    int told(const MemberRecord& update, int answers) {
        int count = 0;
        for (int i = 0; i < answers; ++i) {
            for (const Outgoing& outgoing : hear(0, Kind::Ping)) {
                const auto& updates = outgoing.message.updates;
                count += std::find(updates.begin(), updates.end(), update) != updates.end() ? 1 : 0;
            }
        }
        return count;
    }
    Health health_of(int number) const { return own.members().at(name_at(number)).record.health; }
};

// 3 log2(301) for a fleet of 301, rounded up.
constexpr int transmissions = 25;

}  // namespace

TEST_CASE("gossip: members that a list told of do not hold up a refutation") {
    for (const std::uint64_t incarnation : {1, 2}) {  // an entry of a later incarnation is urgent
        Talk talk;
        talk.hear_list(incarnation);
        REQUIRE_EQ(talk.own.members().size(), members);
        talk.hear(0, Kind::Ping, {record_of(9, Health::Suspect, incarnation)});
        talk.hear(0, Kind::Ping, {record_of(9, Health::Alive, incarnation + 1)});
        CHECK_GE(talk.told(record_of(9, Health::Alive, incarnation + 1), transmissions), transmissions - 1);
    }
}

TEST_CASE("gossip: a member that says itself that it is there is told on") {
    Talk talk;
    talk.hear_list();
    const int newcomer = members;
    talk.hear(newcomer, Kind::Ping);
    CHECK_GE(talk.told(record_of(newcomer, Health::Alive), transmissions), transmissions - 1);
}

TEST_CASE("gossip: a suspicion that comes from many is told no more often") {
    Talk talk;
    talk.hear_list();
    const MemberRecord suspicion = record_of(9, Health::Suspect);
    int told = 0;
    for (int from = 1; from <= 5; ++from) {
        talk.hear(from, Kind::Ack, {suspicion}, 999);
        told += talk.told(suspicion, transmissions);
    }
    CHECK_GE(told, transmissions - 1);
    CHECK_LE(told, transmissions + 1);
}

TEST_CASE("gossip: of entries told as often the newest goes first") {
    Talk talk;
    talk.hear_list();
    std::vector<MemberRecord> suspicions;
    for (int number = 10; number < 40; ++number) {
        suspicions.push_back(record_of(number, Health::Suspect));
        if (suspicions.size() < updates_most) continue;
        talk.hear(0, Kind::Ack, suspicions, 999);
        suspicions.clear();
    }
    const MemberRecord refutation = record_of(99, Health::Alive, 2);  // its name is the last in order
    talk.hear(0, Kind::Ack, {refutation}, 999);
    CHECK_EQ(talk.told(refutation, 1), 1);
}

TEST_CASE("suspicion: one that answers only the last ping before it is called dead is not called dead") {
    Talk talk;
    talk.hear_list();
    talk.hear(0, Kind::Ping, {record_of(9, Health::Suspect)});
    int pings = 0;
    for (; talk.now < start_s + 60 && talk.health_of(9) == Health::Suspect; talk.now += 0.01) {
        for (const Outgoing& outgoing : talk.own.on_time(talk.now)) {
            const auto& updates = outgoing.message.updates;
            const bool tells_suspicion =
                std::find(updates.begin(), updates.end(), record_of(9, Health::Suspect)) != updates.end();
            if (outgoing.to != address_at(9) || outgoing.message.kind != Kind::Ping || !tells_suspicion)
                continue;
            if (talk.now < start_s + 9) continue;  // a probe of before: lost
            if (++pings < 3) continue;             // lost
            Message refutation;
            refutation.kind = Kind::Ack;
            refutation.number = outgoing.message.number;
            talk.own.heard(name_at(9), address_at(9), {2, first_incarnation(9).token}, refutation, talk.now);
        }
    }
    CHECK_EQ(talk.health_of(9), Health::Alive);
    CHECK_EQ(pings, 3);
}

TEST_CASE("suspicion: a last call that nobody answers ends in death") {
    Talk talk;
    talk.hear_list();
    talk.hear(0, Kind::Ping, {record_of(9, Health::Suspect)});
    while (talk.now < start_s + 60 && talk.health_of(9) == Health::Suspect) {
        talk.now += 0.01;
        talk.own.on_time(talk.now);
    }
    CHECK_EQ(talk.health_of(9), Health::Dead);
    // Twice the least time, 4 s x log10(301), and the last call.
    CHECK_LT(talk.now - start_s, 2 * 4 * 2.48 + 0.7);
}

TEST_CASE("lists: one that knows the same is told of nobody, one that lacks some only of their buckets") {
    Talk asker, answerer;
    asker.hear_list();
    answerer.hear_list();
    Message join;
    for (double now = start_s; now < start_s + 5 && join.kind != Kind::Join; now += 0.1) {
        for (const Outgoing& outgoing : asker.own.on_time(now)) {
            if (outgoing.message.kind == Kind::Join) join = outgoing.message;
        }
    }
    REQUIRE_EQ(join.kind, Kind::Join);
    REQUIRE_FALSE(join.digests.empty());
    struct Answer {
        std::size_t datagrams = 0, records = 0;
    };
    const auto answer_to = [&](const Message& message) {
        Answer answer;
        for (const Outgoing& outgoing :
             answerer.own.heard(name_at(0), address_at(0), first_incarnation(0), message, start_s)) {
            ++answer.datagrams;
            answer.records += outgoing.message.updates.size();
        }
        return answer;
    };
    join.updates.clear();  // both are "own" to themselves
    const Answer same = answer_to(join);
    CHECK_EQ(same.datagrams, 1);
    CHECK_EQ(same.records, 1);
    // A member that the asker does not know: its bucket, of some ten.
    answerer.hear(members, Kind::Ping);
    const Answer lacking = answer_to(join);
    CHECK_GT(lacking.records, 1);
    CHECK_LE(lacking.records, 30);
    CHECK_LE(lacking.datagrams, 3);
    // An agent of an earlier version sends no digests, and is told of all.
    join.digests.clear();
    CHECK_EQ(answer_to(join).records, members + 2);
}
