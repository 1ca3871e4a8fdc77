// A sum whose terms come and go, and which never drifts.
#pragma once
#include <algorithm>
#include <vector>

namespace cinderfront::accounting {

/// Sums numbers of which few are different, as the rates of sessions are. It counts each value, so that what
/// is taken away leaves no rounding error behind, and the order of the calls doesn't show in the sum.
class CountedSum {
public:
    void add(double value) { change(value, 1); }
    /// Takes away a value that was added.
    void remove(double value) { change(value, -1); }

    double sum() const {
        if (!stale_) return sum_;
        sum_ = 0;
        for (const Term& term : terms_) sum_ += term.value * term.count;
        stale_ = false;
        return sum_;
    }

private:
    struct Term {
        double value = 0, count = 0;
    };

    void change(double value, double by) {
        stale_ = true;
        const auto it = std::ranges::lower_bound(terms_, value, {}, &Term::value);
        if (it != terms_.end() && it->value == value) {
            it->count += by;
        } else {
            terms_.insert(it, {value, by});
        }
    }

    std::vector<Term> terms_;  // by value; those counted 0 stay, as the value is likely to come again
    mutable double sum_ = 0;
    mutable bool stale_ = false;
};

}  // namespace cinderfront::accounting
