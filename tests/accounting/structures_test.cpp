// The structures that keep what the decisions ask for, each against the walk that it stands for.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <vector>

#include "accounting/charge_ledger.h"
#include "accounting/counted_sum.h"
#include "accounting/counter.h"
#include "accounting/demand_curve.h"
#include "accounting/steps.h"
#include "accounting/table.h"

namespace {

using namespace cinderfront::accounting;

constexpr double never = -std::numeric_limits<double>::infinity();

class Random {
public:
    explicit Random(std::uint64_t seed) : bits_(seed) {}
    double between(double low, double high) {
        return low + (high - low) * std::uniform_real_distribution<double>()(bits_);
    }
    std::size_t below(std::size_t count) { return bits_() % count; }

private:
    std::mt19937_64 bits_;
};

TEST_CASE("counter: counts what was added and not taken away") {
    Counter<int> counter;
    CHECK(counter.count(7) == 0);
    counter.add(7);
    counter.add(7);
    counter.add(8);
    CHECK(counter.count(7) == 2);
    counter.remove(7);
    counter.remove(7);
    counter.remove(7);
    CHECK(counter.count(7) == 0);
    CHECK(counter.count(8) == 1);
}

TEST_CASE("counted sum: leaves nothing behind after a million changes") {
    CountedSum sum;
    const double rates[] = {0.1, 187.31, 1e9 / 3, 401.13};
    for (int i = 0; i < 1000000; ++i) {
        sum.add(rates[i % 4]);
        if (i >= 100) sum.remove(rates[(i - 100) % 4]);
    }
    for (int i = 1000000 - 100; i < 1000000; ++i) sum.remove(rates[i % 4]);
    CHECK(sum.sum() == 0);
    sum.add(0.1);
    sum.add(0.1);
    CHECK(sum.sum() == 0.2);
}

TEST_CASE("table: finds what was added until it is erased, and counts the look-ups") {
    Table<int> table;
    CHECK(table.find(1) == nullptr);
    int& value = table.add(1);
    value = 5;
    for (std::uint64_t id = 2; id < 100; ++id) table.add(id);
    CHECK(table.find(1) == &value);
    CHECK(table.at(1) == 5);
    table.erase(1);
    CHECK(table.find(1) == nullptr);
    CHECK(table.size() == 98);
    CHECK(table.lookups() == 4);
}

TEST_CASE("steps: the table gives what the function does, to the last bit") {
    const auto function = [](double x) { return x * 1.7 < 0.3 ? 9 : x * x < 5e40 ? 4 : 1; };
    const auto steps = steps_of(function, 1e100);
    REQUIRE(steps.size() == 3);
    for (std::size_t i = 1; i < steps.size(); ++i) {
        CHECK(function(steps[i].from) == steps[i].value);
        CHECK(function(std::nextafter(steps[i].from, 0)) == steps[i - 1].value);
    }
    CHECK(steps_of([](double) { return 3; }, 1e100).size() == 1);
}

// The ledger as a plain list that is walked for every question.
struct WalkedLedger {
    struct Ended {
        double at, rate, since;
    };
    std::map<std::uint64_t, Charge> sessions;
    std::vector<Ended> ended;

    double charged_since(double as_of, double slot) const {
        double sum = 0;
        for (const Ended& e : ended) sum -= e.at > as_of && e.since <= as_of ? e.rate : 0;
        for (const auto& [id, charge] : sessions) {
            if (charge.since > as_of && slot <= charge.last_slot) sum += charge.rate;
        }
        return sum;
    }
};

TEST_CASE("charge ledger: the same as a walk, to the last bit") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        ChargeLedger ledger;
        WalkedLedger walked;
        double now = 100;
        double readings[] = {never, 100};
        for (int step = 0; step < 2000; ++step) {
            now += random.between(0, 0.2);
            const std::size_t what = random.below(10);
            if (what < 4) {
                const double since = random.below(8) == 0 ? never : now;
                const Charge charge{random.below(1000000), since, std::floor(now + random.between(0, 20)),
                                    random.between(1, 1000)};
                if (walked.sessions.emplace(charge.id, charge).second) ledger.add(charge);
            } else if (what < 8 && !walked.sessions.empty()) {
                auto it = walked.sessions.lower_bound(random.below(1000000));
                if (it == walked.sessions.end()) it = walked.sessions.begin();
                ledger.remove(it->second);
                for (const double as_of : readings) ledger.charged_since(as_of, std::floor(now));
                ledger.end(now, it->second.rate, it->second.since);
                walked.ended.push_back({now, it->second.rate, it->second.since});
                walked.sessions.erase(it);
            } else if (what == 8) {
                ledger.forget_ended(now - 30);
                std::erase_if(walked.ended, [&](const auto& e) { return e.at <= now - 30; });
            } else {
                readings[random.below(2)] = now - random.between(0, 3);
            }
            for (const double as_of : readings) {
                REQUIRE(ledger.charged_since(as_of, std::floor(now)) ==
                        walked.charged_since(as_of, std::floor(now)));
            }
            REQUIRE(ledger.empty() == walked.sessions.empty());
        }
        std::vector<std::uint64_t> ids;
        for (const auto& [id, charge] : walked.sessions) ids.push_back(id);
        CHECK(ledger.ids() == ids);
    }
}

TEST_CASE("charge ledger: visits what began after the reading alone, and that once") {
    ChargeLedger ledger;
    for (std::uint64_t id = 0; id < 10000; ++id) ledger.add({id, static_cast<double>(id), 1e9, 100});
    const auto visits_of_question = [&](double as_of, double slot) {
        const std::uint64_t before = ledger.visits();
        ledger.charged_since(as_of, slot);
        return ledger.visits() - before;
    };
    CHECK(visits_of_question(9989, 10000) == 10);
    CHECK(visits_of_question(9989, 10000) == 0);
    CHECK(visits_of_question(9989, 10001) == 10);
    ledger.remove({5, 5, 1e9, 100});
    CHECK(visits_of_question(9989, 10001) == 10);
}

// Viewers of a group take rung 2, then 1, then 0 as the price rises.
int rung_of_group(std::size_t group, double price) {
    const double dear = static_cast<double>(group) + 1;
    return price < dear ? 2 : price < 3 * dear ? 1 : 0;
}
double rate_of(int rung) {
    return 93.7 * (rung + 1);
}

struct Viewer {
    std::size_t group;
    double taste;
};

TEST_CASE("demand curve: the same as asking every viewer") {
    constexpr std::size_t groups = 3;
    constexpr double low = 0.1, high = 20;
    constexpr int halvings = 30;
    Random random(3);
    DemandCurve curve;
    for (std::size_t group = 0; group < groups; ++group) {
        CHECK(!curve.defined(group));
        curve.define(
            group, [&](double price) { return rung_of_group(group, price); }, 1e100, rate_of);
        CHECK(curve.defined(group));
    }
    std::vector<Viewer> viewers;
    const auto wanted = [&](double price) {
        double sum = 0;
        for (const Viewer& v : viewers) sum += rate_of(rung_of_group(v.group, price * v.taste));
        return sum;
    };
    for (int step = 0; step < 3000; ++step) {
        if (viewers.empty() || random.below(5) < 3) {
            viewers.push_back({random.below(groups), random.below(4) == 0 ? 1 : random.between(0.6, 1.5)});
            curve.add(viewers.back().group, viewers.back().taste);
        } else {
            std::swap(viewers[random.below(viewers.size())], viewers.back());
            curve.remove(viewers.back().group, viewers.back().taste);
            viewers.pop_back();
        }
        const double price = random.between(low, high);
        REQUIRE(curve.wanted(price) == doctest::Approx(wanted(price)).epsilon(1e-12));

        // Not a sum that viewers can come to, so that rounding of the sums can't matter.
        const double limit = random.between(0, wanted(low) * 1.2);
        double from = low, to = wanted(low) > limit ? high : low;
        for (int i = 0; i < halvings && from < to; ++i) {
            const double middle = (from + to) / 2;
            (wanted(middle) > limit ? from : to) = middle;
        }
        REQUIRE(curve.price_for(limit, low, high, halvings) == from);
    }
    for (const Viewer& v : viewers) curve.remove(v.group, v.taste);
    CHECK(curve.wanted(1) == 0);
    CHECK(curve.price_for(0, low, high, halvings) == low);
}

TEST_CASE("demand curve: the price from which on no higher rung is taken") {
    DemandCurve curve;
    curve.define(
        0, [](double price) { return rung_of_group(0, price); }, 1e100, rate_of);
    CHECK(curve.price_down_to(0, 1, 2) == 0);
    CHECK(curve.price_down_to(0, 2, 1) == 0.5);
    CHECK(curve.price_down_to(0, 1, 0) == 3);
    CHECK(curve.price_down_to(0, 1, -1) == std::numeric_limits<double>::infinity());
}

TEST_CASE("demand curve: a search compares few tastes of many") {
    DemandCurve curve;
    curve.define(
        0, [](double price) { return rung_of_group(0, price); }, 1e100, rate_of);
    Random random(5);
    constexpr int viewers = 50000;
    for (int i = 0; i < viewers; ++i) curve.add(0, random.between(0.6, 1.5));
    const std::uint64_t before = curve.visits();
    curve.price_for(rate_of(1) * viewers, 0.1, 20, 30);
    // Two steps, each searched 31 times in a range that gets half as long each time: 2 x 16 + 2 x (16 + 15 +
    // ...).
    CHECK(curve.visits() - before < 320);
}

}  // namespace
