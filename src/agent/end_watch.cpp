#include "end_watch.h"

namespace jasperspread::agent {
namespace {

constexpr int timeouts_to_vanish = 2;  // in a row, before a silent machine counts as gone

}  // namespace

void EndWatch::heard(double now) {
    heard_at_ = now;
    probed_at_ = 0;
}

void EndWatch::probe_sent(double now) {
    if (!is_probed()) probed_at_ = now;
}

void EndWatch::connection_up() {
    timeouts_ = 0;
}

bool EndWatch::probe_is_due(double now) const {
    return limits_.can_probe && now > heard_at_ + limits_.probe_after;
}

bool EndWatch::has_vanished(double now) const {
    return timeouts_ >= timeouts_to_vanish && now > heard_at_ + limits_.vanished_after;
}

bool EndWatch::sessions_are_over(double now) const {
    if (now < heard_at_ + limits_.over_after) return false;
    const bool is_unanswered = is_probed() && now >= probed_at_ + limits_.probe_answer;
    return limits_.can_probe ? is_unanswered : limits_.notes_are_due;
}

}  // namespace jasperspread::agent
