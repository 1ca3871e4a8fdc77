// The ranking of viewers' connections against the same decisions made by looking at all of them.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "agent/connection_ranking.h"

using jasperspread::agent::ConnectionRanking;
using Rank = ConnectionRanking::Rank;
using Trust = ConnectionRanking::Trust;
using Number = ConnectionRanking::Number;

namespace {

bool is_served(Trust trust) {
    return trust == Trust::Served || trust == Trust::ServedFaulty;
}

// Of all in the order in which they came, the first with the largest (served, without fault, another one,
// used).
std::optional<Number> by_looking_at_all(const std::vector<Rank>& all, Number not_this,
                                        double silent_used_by) {
    const auto score = [&](const Rank& one) {
        const bool sound = one.trust == Trust::Served || one.trust == Trust::Spoken;
        return std::tuple(is_served(one.trust), sound, one.number != not_this, one.used);
    };
    const Rank* best = nullptr;
    for (const Rank& one : all) {
        if (one.trust == Trust::Closing) continue;
        if (one.trust == Trust::Silent && one.used > silent_used_by) continue;
        if (best == nullptr || score(one) > score(*best)) best = &one;
    }
    return best == nullptr ? std::nullopt : std::optional(best->number);
}

std::vector<Number> rested_of_all(const std::vector<Rank>& all, Trust trust, Trust other,
                                  double used_before) {
    std::vector<Rank> rested;
    for (const Rank& one : all) {
        const bool asked = one.trust == trust || one.trust == other;
        if (asked && !one.busy && one.used < used_before) rested.push_back(one);
    }
    std::stable_sort(rested.begin(), rested.end(),
                     [](const Rank& a, const Rank& b) { return a.used < b.used; });
    std::vector<Number> numbers;
    numbers.reserve(rested.size());
    for (const Rank& one : rested) numbers.push_back(one.number);
    return numbers;
}

std::vector<Number> rested_of(const ConnectionRanking& ranking, Trust trust, std::optional<Trust> other,
                              double used_before) {
    std::vector<Number> numbers;
    const auto note = [&](Number number) {
        numbers.push_back(number);
        return true;
    };
    if (other) ranking.each_rested(trust, *other, used_before, note);
    if (!other) ranking.each_rested(trust, used_before, note);
    return numbers;
}

}  // namespace

TEST_CASE("the ranking decides as a look at all connections does, whatever comes, changes and goes") {
    std::mt19937_64 random(29);
    const auto below = [&](std::uint64_t most) { return random() % most; };
    for (int world = 0; world < 40; ++world) {
        ConnectionRanking ranking;
        std::vector<Rank> all;
        Number came = 0;
        // Few times, so that many are the same; in some worlds nobody was served, or all are silent.
        const std::uint64_t trusts = 1 + below(6);
        for (int step = 0; step < 300; ++step) {
            const double used = static_cast<double>(below(6));
            const auto trust = static_cast<Trust>(below(trusts));
            const auto what = below(4);
            if (what == 0 || all.empty()) {
                all.push_back({trust, below(3) == 0, used, ++came});
                ranking.add(all.back());
            } else if (what == 1 && all.size() > 8) {
                const auto gone = all.begin() + static_cast<std::ptrdiff_t>(below(all.size()));
                ranking.remove(*gone);
                all.erase(gone);
            } else {
                Rank& one = all[below(all.size())];
                const Rank before = one;
                one = {trust, below(3) == 0, used, one.number};
                ranking.change(before, one);
            }
            const double line = static_cast<double>(below(7));
            const Number not_this = below(came + 1);
            CHECK_EQ(ranking.most_trusted(not_this, line), by_looking_at_all(all, not_this, line));
            CHECK_EQ(rested_of(ranking, trust, std::nullopt, line), rested_of_all(all, trust, trust, line));
            CHECK_EQ(rested_of(ranking, Trust::Faulty, Trust::Spoken, line),
                     rested_of_all(all, Trust::Faulty, Trust::Spoken, line));
        }
    }
}

TEST_CASE("a look at those that rested ends where its visitor says so") {
    ConnectionRanking ranking;
    for (Number number = 1; number <= 100; ++number)
        ranking.add({Trust::Spoken, false, static_cast<double>(number), number});
    int visits = 0;
    ranking.each_rested(Trust::Faulty, Trust::Spoken, 1000, [&](Number number) {
        ++visits;
        return number < 3;
    });
    CHECK_EQ(visits, 3);
}

TEST_CASE("with nobody there, nobody is trusted") {
    ConnectionRanking ranking;
    CHECK_FALSE(ranking.most_trusted(0, 100).has_value());
    ranking.add({Trust::Closing, false, 1, 1});
    ranking.add({Trust::Silent, false, 5, 2});
    CHECK_FALSE(ranking.most_trusted(0, 4).has_value());
    CHECK_EQ(ranking.most_trusted(0, 5), std::optional<Number>(2));
    CHECK_EQ(ranking.most_trusted(2, 5), std::optional<Number>(2));
}
