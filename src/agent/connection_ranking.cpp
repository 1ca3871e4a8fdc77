#include "connection_ranking.h"

#include <utility>

namespace jasperspread::agent {
namespace {

using Rank = ConnectionRanking::Rank;

constexpr double earliest = -std::numeric_limits<double>::infinity();
constexpr double latest = std::numeric_limits<double>::infinity();
constexpr auto last_number = std::numeric_limits<ConnectionRanking::Number>::max();

bool rested_longer(const Rank& a, const Rank& b) {
    return std::pair(a.used, a.number) < std::pair(b.used, b.number);
}

bool used_later(const Rank& a, const Rank& b) {
    return a.used != b.used ? a.used > b.used : a.number < b.number;
}

}  // namespace

void ConnectionRanking::change(const Rank& from, const Rank& to) {
    if (from.key() == to.key()) return;
    auto node = ranks_.extract(from);
    if (node.empty()) return;
    node.value() = to;
    ranks_.insert(std::move(node));
}

void ConnectionRanking::each_rested(Trust trust, double used_before,
                                    const std::function<bool(Number)>& visit) const {
    const auto end = ranks_.lower_bound({trust, false, used_before, 0});
    for (auto it = ranks_.lower_bound({trust, false, earliest, 0}); it != end; ++it) {
        if (!visit(it->number)) return;
    }
}

void ConnectionRanking::each_rested(Trust trust, Trust other, double used_before,
                                    const std::function<bool(Number)>& visit) const {
    auto one = ranks_.lower_bound({trust, false, earliest, 0});
    auto two = ranks_.lower_bound({other, false, earliest, 0});
    const auto one_end = ranks_.lower_bound({trust, false, used_before, 0});
    const auto two_end = ranks_.lower_bound({other, false, used_before, 0});
    while (one != one_end || two != two_end) {
        const bool first = two == two_end || (one != one_end && rested_longer(*one, *two));
        auto& next = first ? one : two;
        if (!visit(next->number)) return;
        ++next;
    }
}

std::optional<ConnectionRanking::Number> ConnectionRanking::most_trusted(Number not_this,
                                                                         double silent_used_by) const {
    const auto told = [](const Best& best) -> std::optional<Number> {
        if (best.other) return best.other->number;
        if (best.not_this) return best.not_this->number;
        return std::nullopt;
    };
    for (const Trust trust : {Trust::Served, Trust::ServedFaulty, Trust::Spoken}) {
        Best best;
        look(trust, latest, not_this, best);
        if (const auto found = told(best)) return found;
    }
    Best best;  // neither of these is better than the other
    look(Trust::Faulty, latest, not_this, best);
    look(Trust::Silent, silent_used_by, not_this, best);
    return told(best);
}

void ConnectionRanking::look(Trust trust, double used_by, Number not_this, Best& best) const {
    for (const bool busy : {false, true}) look(trust, busy, used_by, not_this, best);
}

// Looks at two of them at most: the one used last, and the next one where that is `not_this`.
void ConnectionRanking::look(Trust trust, bool busy, double used_by, Number not_this, Best& best) const {
    const auto begin = ranks_.lower_bound({trust, busy, earliest, 0});
    auto end = ranks_.upper_bound({trust, busy, used_by, last_number});
    while (begin != end) {
        const double used = std::prev(end)->used;
        const auto first = ranks_.lower_bound({trust, busy, used, 0});
        auto it = first;
        if (it->number == not_this) {
            best.not_this = *it;
            ++it;
        }
        if (it != end) {
            if (!best.other || used_later(*it, *best.other)) best.other = *it;
            return;
        }
        end = first;
    }
}

}  // namespace jasperspread::agent
