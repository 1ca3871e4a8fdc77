// The laboratory's judge: it sees what servers and viewers see, judges the rules of the protocol, and adds up
// what each viewer received. It knows nothing of the agents.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/model/world.h"

namespace lab {

using SessionId = std::uint64_t;

class Ledger {
public:
    explicit Ledger(const WorldPlan& plan) : plan_(plan) {}

    // ---- Viewers ----
    void asked(SessionId id, int cls, int top, double now, double deadline);
    void answered(SessionId id, double now);
    void turned_away(SessionId id, bool refused, double now);
    void gave_up(SessionId id, double now);          // the viewer, before an answer
    void viewer_left(SessionId id, double now);      // a session that stood
    void wants(SessionId id, double seconds);        // it would be watched for so long
    void told_over(SessionId id, double now);        // a release after the answer
    void connection_lost(SessionId id, double now);  // with its set-up open

    // ---- Servers ----
    void set_up_came(SessionId id, int server, double now);
    void unrun(SessionId id, int server);  // full or moot: it never ran
    void stream_begins(SessionId id, int server, int rung, double now, bool handed_over);
    void stream_ends(SessionId id, int server, double now, bool for_hand_over);
    void rung_changed(SessionId id, int server, int rung, double now);
    void delivers(SessionId id, int server, double share, double seconds);  // over the time just past
    void server_over(SessionId id, int server,
                     double now);  // the server holds it no more, and it is not moved
    void drained(int server, double now) { drained_[server] = now; }
    void listed(int server) { drained_.erase(server); }
    void trouble(int server, double now) { trouble_[server] = now; }  // it froze, died or vanished then

    void agent_gone(int agent);  // its process was killed, and what it held with it
    // All is over: what was never answered is a violation.
    void close(double now);

    struct Sums {
        std::uint64_t asked = 0, answered = 0, refused = 0, failed = 0, given_up = 0, lost = 0;
        std::uint64_t set_ups = 0, duplicate_setups = 0, double_payments = 0;
        std::uint64_t moves = 0, moved_again = 0;  // hand-overs, and those within 30 s of the one before
        double worth_offered = 0, worth_earned = 0;
        std::vector<double> gaps_ms;  // over hand-overs whose source and target both lived
        double worst_gap_ms = 0;      // over all
    };
    const Sums& sums() const { return sums_; }
    const std::vector<std::string>& violations() const { return violations_; }
    void violate(std::string what, double now);

private:
    struct Viewed {
        int cls = 0, top = 0;
        double asked = 0, deadline = 0, answered = 0;
        bool settled = false;  // answered, refused, failed or given up
        bool over = false;
        int streaming_at = -1, last_at = -1, rung = 0;
        double last_stop = 0, last_move = 0;
        bool yielded = false;  // the last stop was for a hand-over
        int may_have_run = 0, streams = 0;
        double server_over_at = 0;  // when a server ended it for good
    };
    double worth(const Viewed& viewed, int rung) const;
    Viewed* find(SessionId id);

    const WorldPlan& plan_;
    std::map<SessionId, Viewed> viewed_;
    std::map<int, double> drained_, trouble_;
    Sums sums_;
    std::vector<std::string> violations_;
};

}  // namespace lab
