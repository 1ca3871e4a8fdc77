// What the sessions at one server add to its use beyond what a reading of that use already holds.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <vector>

#include "accounting/counted_sum.h"

namespace cinderfront::accounting {

/// One session at the server.
struct Charge {
    std::uint64_t id = 0;
    double since = 0, last_slot = 0;  // s, when it began; the last slot in which it is charged
    double rate = 0;                  // kB/s
    friend bool operator<(const Charge& a, const Charge& b) {
        return a.since != b.since ? a.since < b.since : a.id < b.id;
    }
};

/// The sessions that a server holds, in the order in which they began, and those that have ended there.
/// A question about a reading visits only what began or ended after it, and is remembered until the ledger
/// changes: the answer to a question asked again costs two comparisons.
class ChargeLedger {
public:
    void add(const Charge& charge) {
        sessions_.insert(charge);
        rates_.add(charge.rate);
        forget_answers();
    }
    /// Takes away a charge that was added with the same `since`, `id` and `rate`.
    void remove(const Charge& charge) {
        if (sessions_.erase(charge) == 0) return;
        rates_.remove(charge.rate);
        forget_answers();
    }

    /// Of a session that began at `since`, `rate` kB/s ended at `at`.
    void end(double at, double rate, double since) {
        ended_.insert(std::ranges::upper_bound(ended_, at, {}, &Ended::at), {at, rate, since});
        forget_answers();
    }
    /// Forgets what ended at `at` or before.
    void forget_ended(double at) {
        const auto kept = std::ranges::upper_bound(ended_, at, {}, &Ended::at);
        if (kept == ended_.begin()) return;
        ended_.erase(ended_.begin(), kept);
        forget_answers();
    }

    /// kB/s by which the use in `slot` differs from a reading that speaks of `as_of`: what began since then
    /// and is charged in that slot, less what began before and ended since. It is the same to the last bit
    /// as the sum over all that ended and then over all sessions by their ids.
    double charged_since(double as_of, double slot) const {
        for (const Answer& answer : answers_) {
            if (answer.as_of == as_of && answer.slot == slot) return answer.value;
        }
        Answer& oldest = answers_[next_answer_];
        next_answer_ = (next_answer_ + 1) % answers_.size();
        oldest = {as_of, slot, add_up(as_of, slot)};
        return oldest.value;
    }

    /// kB/s of all sessions here.
    double rate() const { return rates_.sum(); }
    bool empty() const { return sessions_.empty(); }

    /// The sessions here by their ids; visits them all.
    std::vector<std::uint64_t> ids() const {
        std::vector<std::uint64_t> found;
        found.reserve(sessions_.size());
        for (const Charge& charge : sessions_) found.push_back(charge.id);
        std::ranges::sort(found);
        visits_ += found.size();
        return found;
    }

    /// Entries read so far, by which tests tell what a question costs.
    std::uint64_t visits() const { return visits_; }

private:
    struct Ended {
        double at = 0, rate = 0, since = 0;
    };
    struct Answer {
        double as_of = std::numeric_limits<double>::quiet_NaN();  // equal to nothing
        double slot = 0, value = 0;
    };

    double add_up(double as_of, double slot) const {
        double sum = 0;
        const auto ended_since = std::ranges::upper_bound(ended_, as_of, {}, &Ended::at);
        for (auto it = ended_since; it != ended_.end(); ++it) {
            if (it->since <= as_of) sum -= it->rate;
        }
        visits_ += static_cast<std::uint64_t>(ended_.end() - ended_since);
        std::vector<const Charge*> begun;
        for (auto it = sessions_.rbegin(); it != sessions_.rend() && it->since > as_of; ++it) {
            begun.push_back(&*it);
        }
        visits_ += begun.size();
        std::ranges::sort(begun, {}, &Charge::id);
        for (const Charge* charge : begun) {
            if (slot <= charge->last_slot) sum += charge->rate;
        }
        return sum;
    }

    void forget_answers() { answers_ = {}; }

    std::set<Charge> sessions_;
    std::vector<Ended> ended_;  // by time
    CountedSum rates_;
    mutable std::array<Answer, 2> answers_;  // a server is read in two ways: its link, and its rack's uplink
    mutable std::size_t next_answer_ = 0;
    mutable std::uint64_t visits_ = 0;
};

}  // namespace cinderfront::accounting
