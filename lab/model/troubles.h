// When something was out of order: intervals of time for each party. The judge excuses only what falls in
// one.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace lab {

class Troubles {
public:
    void begin(int party, double now) {
        auto& list = intervals_[party];
        if (!list.empty() && list.back().to > now) return;  // it is in trouble already
        list.push_back({now, std::numeric_limits<double>::infinity()});
    }
    // An instant of it, which ends none that lasts.
    void touch(int party, double now) {
        if (until(party, now) > now) return;
        begin(party, now);
        end(party, now);
    }
    void end(int party, double now) {
        const auto it = intervals_.find(party);
        if (it != intervals_.end() && it->second.back().to > now) it->second.back().to = now;
    }
    // The end of the one that it was in then, and of those that follow without a gap; that time itself where
    // it was in none.
    double until(int party, double at) const {
        const auto it = intervals_.find(party);
        if (it == intervals_.end()) return at;
        double latest = at;
        for (const Interval& one : it->second) {
            if (one.from <= latest && latest <= one.to) latest = one.to;
        }
        return latest;
    }
    bool overlap(int party, double from, double to) const {
        const auto it = intervals_.find(party);
        if (it == intervals_.end()) return false;
        for (auto one = it->second.rbegin(); one != it->second.rend() && one->to >= from; ++one) {
            if (one->from <= to) return true;
        }
        return false;
    }

    // How much of this time it was in trouble, s.
    double length(int party, double from, double to) const {
        const auto it = intervals_.find(party);
        if (it == intervals_.end()) return 0;
        double sum = 0;
        for (auto one = it->second.rbegin(); one != it->second.rend() && one->to >= from; ++one)
            sum += std::max(0.0, std::min(to, one->to) - std::max(from, one->from));
        return sum;
    }

private:
    struct Interval {
        double from = 0, to = 0;
    };
    std::map<int, std::vector<Interval>> intervals_;  // in the order of time, none inside another
};

}  // namespace lab
