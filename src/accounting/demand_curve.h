// What all viewers together want at a price of a kB.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "accounting/steps.h"

namespace cinderfront::accounting {

/// Viewers of one group want the same at the same price, but for their taste: a factor on the price that each
/// sees. What a group wants falls in few steps, so the viewers are only counted between two steps by binary
/// search, and a viewer who comes or goes costs one search and a move of memory.
class DemandCurve {
public:
    bool defined(std::size_t group) const { return group < groups_.size() && !groups_[group].steps.empty(); }
    /// Gives a group its rungs: `rung(price)` is the one taken at a price seen up to `dearest`, none of them
    /// again after another, and `rate(rung)` its kB/s.
    template <typename Rung, typename Rate>
    void define(std::size_t group, const Rung& rung, double dearest, const Rate& rate) {
        if (group >= groups_.size()) groups_.resize(group + 1);
        groups_[group].steps = steps_of(rung, dearest);
        for (const Step& step : groups_[group].steps) groups_[group].rates.push_back(rate(step.value));
    }

    /// The price from which on a viewer takes no rung higher than this; 0 where there is none, infinite where
    /// a higher one is taken at any price.
    double price_down_to(std::size_t group, double taste, int rung) const {
        const std::vector<Step>& steps = groups_[group].steps;
        const auto low =
            std::find_if(steps.rbegin(), steps.rend(), [&](const Step& s) { return s.value > rung; });
        if (low == steps.rend()) return 0;
        return low == steps.rbegin() ? std::numeric_limits<double>::infinity() : (low - 1)->from / taste;
    }

    void add(std::size_t group, double taste) {
        std::vector<double>& tastes = groups_[group].tastes;
        tastes.insert(std::ranges::upper_bound(tastes, taste), taste);
    }
    /// Takes away a viewer who was added.
    void remove(std::size_t group, double taste) {
        std::vector<double>& tastes = groups_[group].tastes;
        const auto it = std::ranges::lower_bound(tastes, taste);
        if (it != tastes.end() && *it == taste) tastes.erase(it);
    }

    /// kB/s wanted at `price`.
    double wanted(double price) const {
        open_bounds();
        return wanted_between_bounds(price);
    }

    /// The price from `low` to `high` down to which the viewers want more than `limit` kB/s, by so many
    /// halvings: `low` if they don't even there.
    double price_for(double limit, double low, double high, int halvings) const {
        open_bounds();
        if (!(wanted_between_bounds(low) > limit)) return low;
        for (Bound& bound : bounds_) bound.most = bound.at;
        for (int i = 0; i < halvings && low < high; ++i) {
            const double middle = (low + high) / 2;
            const bool too_much = wanted_between_bounds(middle) > limit;
            (too_much ? low : high) = middle;
            for (Bound& bound : bounds_) (too_much ? bound.most : bound.least) = bound.at;
        }
        return low;
    }

    /// Tastes compared so far, by which tests tell what a question costs.
    std::uint64_t visits() const { return visits_; }

private:
    struct Group {
        std::vector<Step> steps;
        std::vector<double> rates;   // of each step, kB/s
        std::vector<double> tastes;  // sorted
    };
    // So many viewers of a group stand before a step: `at` at the price asked last, `least` at the highest
    // price still searched, `most` at the lowest.
    struct Bound {
        std::size_t least = 0, most = 0, at = 0;
    };

    void open_bounds() const {
        bounds_.clear();
        for (const Group& group : groups_) {
            if (group.tastes.empty()) continue;
            bounds_.resize(bounds_.size() + group.steps.size() - 1, {0, group.tastes.size(), 0});
        }
    }

    double wanted_between_bounds(double price) const {
        double sum = 0;
        auto bound = bounds_.begin();
        for (const Group& group : groups_) {
            if (group.tastes.empty()) continue;
            std::size_t before = 0;
            for (std::size_t step = 1; step < group.steps.size(); ++step, ++bound) {
                search(*bound, group.tastes, price, group.steps[step].from);
                sum += group.rates[step - 1] * static_cast<double>(bound->at - before);
                before = bound->at;
            }
            sum += group.rates.back() * static_cast<double>(group.tastes.size() - before);
        }
        return sum;
    }

    void search(Bound& bound, const std::vector<double>& tastes, double price, double from) const {
        std::size_t least = bound.least, most = bound.most;
        while (least < most) {
            const std::size_t middle = least + (most - least) / 2;
            ++visits_;
            if (tastes[middle] * price < from) {
                least = middle + 1;
            } else {
                most = middle;
            }
        }
        bound.at = least;
    }

    std::vector<Group> groups_;
    mutable std::vector<Bound> bounds_;  // scratch
    mutable std::uint64_t visits_ = 0;
};

}  // namespace cinderfront::accounting
