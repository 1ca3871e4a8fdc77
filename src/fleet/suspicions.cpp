#include "suspicions.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasperspread::fleet {
namespace {

// So many confirmations make a suspicion as short as it gets.
constexpr std::size_t confirmations_enough = 3;
// The last call is so many pings: over links that lose a fifth one ping in three goes unanswered.
constexpr unsigned last_call_pings = 3;

}  // namespace

void Suspicions::begin(const Name& suspect, const Name& by, double now) {
    suspicions_[suspect] = {now, {by}, 0, 0};
}

void Suspicions::confirm(const Name& suspect, const Name& by) {
    const auto it = suspicions_.find(suspect);
    if (it != suspicions_.end() && it->second.by.size() <= confirmations_enough) it->second.by.insert(by);
}

void Suspicions::postpone(double seconds) {
    for (auto& [name, suspicion] : suspicions_) {
        suspicion.began += seconds;
        suspicion.pings = 0;
    }
}

double Suspicions::least_s(std::size_t present) const {
    return suspect_s_ * std::max(1.0, std::log10(static_cast<double>(present)));
}

// From twice the least time, with no confirmation, down to it.
double Suspicions::ends(const Suspicion& suspicion, double least) const {
    const double confirmations = std::max(0.0, static_cast<double>(suspicion.by.size()) - 1);
    const double part =
        std::min(1.0, std::log(confirmations + 1) / std::log(static_cast<double>(confirmations_enough) + 1));
    const double at = suspicion.began + least * (2 - part);
    if (suspicion.pings == 0) return at;
    return std::max(at, suspicion.last_call + last_call_s_ * suspicion.pings / last_call_pings);
}

Suspicions::Due Suspicions::take_due(double now, std::size_t present) {
    Due due;
    const double least = least_s(present);
    for (auto& [name, suspicion] : suspicions_) {
        if (now < ends(suspicion, least)) continue;
        if (suspicion.pings == last_call_pings) {
            due.dead.push_back(name);
            continue;
        }
        if (suspicion.pings == 0) suspicion.last_call = now;
        ++suspicion.pings;
        due.to_ping.push_back(name);
    }
    return due;
}

double Suspicions::due(std::size_t present) const {
    double at = std::numeric_limits<double>::infinity();
    const double least = least_s(present);
    for (const auto& [name, suspicion] : suspicions_) at = std::min(at, ends(suspicion, least));
    return at;
}

}  // namespace jasperspread::fleet
