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
Life first_life(int number) {
    return {1, static_cast<std::uint64_t>(number) + 1000};
}
Word word_of(int number, Health health, std::uint64_t incarnation = 1) {
    Word word{name_at(number), address_at(number), first_life(number), health};
    word.life.incarnation = incarnation;
    return word;
}

// The member under test, "own", and the others, of which each says what a test makes it say.
struct Talk {
    Membership own{Settings{}, Word{"own", "127.0.0.1:2999", {1, 5}, Health::Alive}, 7, start_s};
    double now = start_s;

    std::vector<Letter> hear(int from, Kind kind, const std::vector<Word>& words = {},
                             std::uint64_t number = 1) {
        Message message;
        message.kind = kind;
        message.number = number;
        message.words = words;
        return own.heard(name_at(from), address_at(from), first_life(from), message, now);
    }
    // All members, from the first one, in as many lists as it takes.
    void hear_list(std::uint64_t incarnation = 1) {
        std::vector<Word> words;
        for (int number = 0; number < members; ++number) {
            words.push_back(word_of(number, Health::Alive, number == 0 ? 1 : incarnation));
            if (words.size() < words_most && number + 1 < members) continue;
            hear(0, Kind::List, words);
            words.clear();
        }
    }
    // How many of so many answers to pings hold this word.
    int told(const Word& word, int answers) {
        int count = 0;
        for (int i = 0; i < answers; ++i) {
            for (const Letter& letter : hear(0, Kind::Ping)) {
                const auto& words = letter.message.words;
                count += std::find(words.begin(), words.end(), word) != words.end() ? 1 : 0;
            }
        }
        return count;
    }
    Health health_of(int number) const { return own.members().at(name_at(number)).word.health; }
};

// 3 log2(301) for a fleet of 301, rounded up.
constexpr int tellings = 25;

}  // namespace

TEST_CASE("gossip: members that a list told of do not hold up a refutation") {
    for (const std::uint64_t incarnation : {1, 2}) {  // an entry of a later incarnation is urgent
        Talk talk;
        talk.hear_list(incarnation);
        REQUIRE_EQ(talk.own.members().size(), members);
        talk.hear(0, Kind::Ping, {word_of(9, Health::Suspect, incarnation)});
        talk.hear(0, Kind::Ping, {word_of(9, Health::Alive, incarnation + 1)});
        CHECK_GE(talk.told(word_of(9, Health::Alive, incarnation + 1), tellings), tellings - 1);
    }
}

TEST_CASE("gossip: a member that says itself that it is there is told on") {
    Talk talk;
    talk.hear_list();
    const int newcomer = members;
    talk.hear(newcomer, Kind::Ping);
    CHECK_GE(talk.told(word_of(newcomer, Health::Alive), tellings), tellings - 1);
}

TEST_CASE("gossip: a suspicion that comes from many is told no more often") {
    Talk talk;
    talk.hear_list();
    const Word suspicion = word_of(9, Health::Suspect);
    int told = 0;
    for (int from = 1; from <= 5; ++from) {
        talk.hear(from, Kind::Ack, {suspicion}, 999);
        told += talk.told(suspicion, tellings);
    }
    CHECK_GE(told, tellings - 1);
    CHECK_LE(told, tellings + 1);
}

TEST_CASE("gossip: of entries told as often the newest goes first") {
    Talk talk;
    talk.hear_list();
    std::vector<Word> suspicions;
    for (int number = 10; number < 40; ++number) {
        suspicions.push_back(word_of(number, Health::Suspect));
        if (suspicions.size() < words_most) continue;
        talk.hear(0, Kind::Ack, suspicions, 999);
        suspicions.clear();
    }
    const Word refutation = word_of(99, Health::Alive, 2);  // its name is the last in order
    talk.hear(0, Kind::Ack, {refutation}, 999);
    CHECK_EQ(talk.told(refutation, 1), 1);
}

TEST_CASE("suspicion: one that answers only the last ping before it is called dead is not called dead") {
    Talk talk;
    talk.hear_list();
    talk.hear(0, Kind::Ping, {word_of(9, Health::Suspect)});
    int pings = 0;
    for (; talk.now < start_s + 60 && talk.health_of(9) == Health::Suspect; talk.now += 0.01) {
        for (const Letter& letter : talk.own.on_time(talk.now)) {
            const auto& words = letter.message.words;
            const bool tells_doubt =
                std::find(words.begin(), words.end(), word_of(9, Health::Suspect)) != words.end();
            if (letter.to != address_at(9) || letter.message.kind != Kind::Ping || !tells_doubt) continue;
            if (talk.now < start_s + 9) continue;  // a probe of before: lost
            if (++pings < 3) continue;             // lost
            Message refutation;
            refutation.kind = Kind::Ack;
            refutation.number = letter.message.number;
            talk.own.heard(name_at(9), address_at(9), {2, first_life(9).token}, refutation, talk.now);
        }
    }
    CHECK_EQ(talk.health_of(9), Health::Alive);
    CHECK_EQ(pings, 3);
}

TEST_CASE("suspicion: a last call that nobody answers ends in death") {
    Talk talk;
    talk.hear_list();
    talk.hear(0, Kind::Ping, {word_of(9, Health::Suspect)});
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
        for (const Letter& letter : asker.own.on_time(now)) {
            if (letter.message.kind == Kind::Join) join = letter.message;
        }
    }
    REQUIRE_EQ(join.kind, Kind::Join);
    REQUIRE_FALSE(join.digests.empty());
    struct Answer {
        std::size_t datagrams = 0, words = 0;
    };
    const auto answer_to = [&](const Message& message) {
        Answer answer;
        for (const Letter& letter :
             answerer.own.heard(name_at(0), address_at(0), first_life(0), message, start_s)) {
            ++answer.datagrams;
            answer.words += letter.message.words.size();
        }
        return answer;
    };
    join.words.clear();  // both are "own" to themselves
    const Answer same = answer_to(join);
    CHECK_EQ(same.datagrams, 1);
    CHECK_EQ(same.words, 1);
    // A member that the asker does not know: its bucket, of some ten.
    answerer.hear(members, Kind::Ping);
    const Answer lacking = answer_to(join);
    CHECK_GT(lacking.words, 1);
    CHECK_LE(lacking.words, 30);
    CHECK_LE(lacking.datagrams, 3);
    // An agent of an earlier version sends no digests, and is told of all.
    join.digests.clear();
    CHECK_EQ(answer_to(join).words, members + 2);
}
