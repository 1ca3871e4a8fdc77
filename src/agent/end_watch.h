// Whether a lesson server with sessions is able to tell this agent of their ends: when it last was, and what
// is due if it was not for long. One object a server. Decides only: no I/O, times are passed in, all in
// seconds of one clock.
#pragma once

#include <optional>

#include "agent/silence_limits.h"

namespace jasperspread::agent {

class EndWatch {
public:
    explicit EndWatch(const SilenceLimits& limits) : limits_(limits) {}

    // ---- What is seen ----
    void heard(double now);  // a whole message came from the server
    void probe_sent(double now);
    // `draw`: from 0 to 1, for the time until the next one is due.
    void connection_up(double now, double draw);
    void connect_timed_out(double now);
    // One from which no message came has ended, or was never there.
    void connection_was_fruitless(double now);
    // How long the oldest of its open connections has been open; nothing where none is.
    void connections_are_open(std::optional<double> for_s);
    void forget_timeouts() { timeouts_ = 0; }

    // ---- What is due ----
    bool probe_is_due(double now) const;  // the server is to be asked for a sign of life
    // A connection on which the server can send what it could not send before. `stands_since`: of its oldest
    // session.
    bool connection_is_due(double now, double stands_since) const;
    bool is_probed() const { return probed_at_ > 0; }
    // Its connects time out, and nothing came for longer than a server with sessions is silent.
    bool has_vanished(double now) const;
    // Nobody can tell of ends in time any more: its sessions are to be ended.
    bool sessions_are_over(double now) const;

private:
    bool shows_silence() const { return limits_.can_probe || limits_.notes_are_due; }

    const SilenceLimits& limits_;
    double heard_at_ = 0;
    double probed_at_ = 0;  // first asked since it was last heard; 0: it was not
    int timeouts_ = 0;      // connects that timed out since one came up
    double timeouts_since_ = 0;
    // Connections end without a message since; 0: they don't.
    double fruitless_since_ = 0;
    bool has_open_ = false;
    double up_at_ = 0, renew_after_ = 0;  // the last connection came up; the next is due so long after it
};

}  // namespace jasperspread::agent
