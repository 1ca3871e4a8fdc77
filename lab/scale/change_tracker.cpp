#include "lab/scale/change_tracker.h"

#include <algorithm>

namespace lab {

void ChangeTracker::reachable(int agent, bool is, double now) {
    Agent& own = agents_[index(agent)];
    if (own.reachable == is) return;
    own.reachable = is;
    for (auto& [number, pending] : own.pending) {
        pending.prompt = false;
        pending.from = now;
    }
}

void ChangeTracker::told(std::uint64_t number, double now) {
    last_ = std::max(last_, number);
    told_[number] = now;
    for (Agent& own : agents_) own.pending[number] = {own.reachable, now};
}

void ChangeTracker::in_force(int agent, std::uint64_t number, double now) {
    Agent& own = agents_[index(agent)];
    own.latest = std::max(own.latest, number);
    const auto it = own.pending.find(number);
    if (it == own.pending.end()) return;
    done_.push_back({number, it->second.prompt, std::max(0.0, now - it->second.from)});
    own.pending.erase(it);
}

ChangeTracker::Delays ChangeTracker::delays(double from, double until) const {
    Delays found;
    for (const Done& done : done_) {
        const double told = told_.at(done.number);
        if (told < from || told > until) continue;
        (done.prompt ? found.prompt : found.late).push_back(done.delay);
    }
    return found;
}

std::vector<int> ChangeTracker::without_latest() const {
    std::vector<int> found;
    for (std::size_t agent = 0; agent < agents_.size(); ++agent) {
        if (agents_[agent].reachable && agents_[agent].latest < last_)
            found.push_back(static_cast<int>(agent));
    }
    return found;
}

int ChangeTracker::reachable_agents() const {
    return static_cast<int>(
        std::count_if(agents_.begin(), agents_.end(), [](const Agent& own) { return own.reachable; }));
}

}  // namespace lab
