#include "silence_limits.h"

#include <algorithm>
#include <limits>

namespace jasperspread::agent {
namespace {

constexpr double note_slack_s = 0.7;  // over the time in which a note should have come
// So long before its sessions must be over a server is asked, and its connection replaced: for two connects
// and an answer.
constexpr double probe_at_most_s = 5.5, answer_s = 0.6;
constexpr double probe_without_notes_s = 4;
constexpr double over_after_s = 7.2;  // of the 8 s in which ends must be told
// Leaves time for connects that fail; drawn, so that agents that began together don't connect together.
constexpr double renew_least_s = 4.5, renew_most_s = 6;
// Part of the time after which the server closes an idle connection: its close must never meet what it has to
// say.
constexpr double idle_part = 0.6;

}  // namespace

SilenceLimits silence_limits(const SilenceSettings& settings) {
    const bool has_notes = settings.note_every > 0;
    const double note_due = settings.note_every + settings.note_late + note_slack_s;
    SilenceLimits limits;
    limits.can_probe = settings.can_probe;
    limits.probe_after = has_notes ? std::min(note_due, probe_at_most_s) : probe_without_notes_s;
    limits.probe_answer = answer_s;
    limits.replace_after = limits.probe_after + (settings.can_probe ? answer_s : 0);
    limits.idle_after =
        settings.conn_idle > 0 ? idle_part * settings.conn_idle : std::numeric_limits<double>::infinity();
    limits.vanished_after = has_notes ? std::min(note_due, over_after_s) : over_after_s;
    limits.over_after = over_after_s;
    limits.renew_least = renew_least_s;
    limits.renew_most = renew_most_s;
    limits.notes_are_due = has_notes && note_due <= over_after_s;
    return limits;
}

}  // namespace jasperspread::agent
