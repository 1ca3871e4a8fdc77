// Every order of words about one session, up to a bound: its viewer, its server, two other agents, answers
// lost or late. An agent that does not ask all is found out.
#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "recovery/reconciliation.h"

using namespace jasperspread::recovery;

namespace {

enum class Word { Claimed, Elsewhere, Plays, Ended, Ask, AnswerA, AnswerB, Decide };
constexpr int words = 8;
constexpr std::size_t longest = 5;

struct World {
    bool intent = false;
    Trust trust = Trust::Hint;
    bool a_holds = false, b_holds = false;  // all along
    bool asks_b = true;
};

struct Explored {
    std::size_t orders = 0, broken = 0;
};

// One returned agent with one session, and what it was told so far.
class Play {
public:
    explicit Play(const World& world) : world_(world) {
        reconciliation_.remember(id, world.intent, world.trust);
    }

    void hear(Word word, double now) {
        const bool open = reconciliation_.holds(id);
        switch (word) {
            case Word::Claimed:
                reconciliation_.claimed(id);
                claimed_ = claimed_ || open;
                break;
            case Word::Elsewhere:
                reconciliation_.claimed_elsewhere(id);
                elsewhere_ = elsewhere_ || open;
                break;
            case Word::Plays:
                reconciliation_.plays(id);
                break;
            case Word::Ended:
                reconciliation_.ended(id);
                ended_ = ended_ || open;
                break;
            case Word::Ask:
                ask(now);
                break;
            case Word::AnswerA:
                if (asked_a_) answer("a", world_.a_holds);
                break;
            case Word::AnswerB:
                if (asked_b_) answer("b", world_.b_holds);
                break;
            case Word::Decide:
                decide(now);
        }
    }

    void decide(double now) {
        for (const auto& one : reconciliation_.decide(now)) done_.push_back(one);
    }

    // Judges what became of the session.
    bool broken() const {
        if (done_.size() != 1) return true;  // one outcome, whatever comes
        const Outcome outcome = done_.front().outcome;
        const bool another = world_.a_holds || world_.b_holds;
        if (outcome == Outcome::Released && another && !elsewhere_)
            return true;  // it plays on there, for its viewer
        if (outcome == Outcome::Released && (claimed_ || ended_)) return true;
        if (claimed_ != (outcome == Outcome::Kept)) return true;
        if (outcome == Outcome::Failed && !world_.intent) return true;
        return outcome == Outcome::Left && !another && claimed_;
    }

private:
    static constexpr SessionId id = 1;

    void ask(double now) {
        std::vector<std::string> peers = {"a"};
        if (world_.asks_b) peers.emplace_back("b");
        for (const Question& one : reconciliation_.ask(peers, now))
            (one.peer == "a" ? asked_a_ : asked_b_) = true;
    }
    void answer(const std::string& peer, bool holds) {
        reconciliation_.told(peer, 0, holds ? std::vector{id} : std::vector<SessionId>{});
    }

    const World& world_;
    Reconciliation reconciliation_{{5, 0, 64, 100}, 0};
    std::vector<Reconciliation::Done> done_;
    bool claimed_ = false, ended_ = false, elsewhere_ = false, asked_a_ = false, asked_b_ = false;
};

// Plays one order of words and judges what became of the session.
bool breaks(const World& world, const std::vector<Word>& order) {
    Play play(world);
    double now = 0;
    for (const Word word : order) {
        now += 0.5;
        play.hear(word, now);
    }
    play.decide(100);
    play.decide(200);
    return play.broken();
}

Explored explore(const World& world) {
    Explored all;
    for (std::size_t length = 0; length <= longest; ++length) {
        std::vector<Word> order(length, Word::Claimed);
        std::size_t orders = 1;
        for (std::size_t i = 0; i < length; ++i) orders *= words;
        for (std::size_t number = 0; number < orders; ++number) {
            std::size_t rest = number;
            for (Word& word : order) {
                word = static_cast<Word>(rest % words);
                rest /= words;
            }
            ++all.orders;
            all.broken += breaks(world, order) ? 1 : 0;
        }
    }
    return all;
}

}  // namespace

TEST_CASE("reconciliation: every order of up to five words, whoever holds the session") {
    std::size_t orders = 0;
    for (const bool intent : {false, true}) {
        for (const bool a_holds : {false, true}) {
            for (const bool b_holds : {false, true}) {
                const Explored all =
                    explore({intent, intent ? Trust::Fact : Trust::Hint, a_holds, b_holds, true});
                CHECK_EQ(all.broken, 0);
                orders += all.orders;
            }
        }
    }
    CHECK_EQ(orders, 8 * 37449);
}

TEST_CASE("reconciliation: an agent that asks only one of the others is found out") {
    CHECK_GT(explore({false, Trust::Hint, false, true, false}).broken, 0);
}
