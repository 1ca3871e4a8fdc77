#include "end_watch.h"

#include <algorithm>

namespace jasperspread::agent {
namespace {

constexpr int timeouts_to_vanish = 2;  // in a row, before a silent machine counts as gone
// A connection that has stayed open for so long is one on which the server could speak, s.
constexpr double held_s = 1;

}  // namespace

void EndWatch::heard(double now) {
    heard_at_ = now;
    probed_at_ = fruitless_since_ = 0;
}

void EndWatch::probe_sent(double now) {
    if (!is_probed()) probed_at_ = now;
}

void EndWatch::connection_up(double now, double draw) {
    timeouts_ = 0;
    up_at_ = now;
    renew_after_ = limits_.renew_least + draw * (limits_.renew_most - limits_.renew_least);
}

bool EndWatch::connection_is_due(double now, double stands_since) const {
    return now >= std::max(up_at_, stands_since) + renew_after_;
}

void EndWatch::connect_timed_out(double now) {
    if (timeouts_++ == 0) timeouts_since_ = now;
}

void EndWatch::connection_was_fruitless(double now) {
    if (fruitless_since_ == 0) fruitless_since_ = now;
}

void EndWatch::connections_are_open(std::optional<double> for_s) {
    has_open_ = for_s.has_value();
    if (for_s && *for_s >= held_s) fruitless_since_ = 0;
}

bool EndWatch::probe_is_due(double now) const {
    return limits_.can_probe && now > heard_at_ + limits_.probe_after;
}

bool EndWatch::has_vanished(double now) const {
    if (timeouts_ < timeouts_to_vanish) return false;
    return shows_silence() ? now > heard_at_ + limits_.vanished_after
                           : now >= timeouts_since_ + limits_.over_after;
}

bool EndWatch::sessions_are_over(double now) const {
    if (!shows_silence()) return fruitless_since_ > 0 && now >= fruitless_since_ + limits_.over_after;
    if (now < heard_at_ + limits_.over_after) return false;
    if (!limits_.can_probe) return true;
    const bool is_unanswered = is_probed() && now >= probed_at_ + limits_.probe_answer;
    return is_unanswered || !has_open_;
}

}  // namespace jasperspread::agent
