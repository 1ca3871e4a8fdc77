// The laboratory's judge: it sees what servers and viewers see, judges the rules of the protocol, and adds up
// what each viewer received. It knows nothing of the agents but which process was asked, and when one died,
// was stopped or could not be reached: it excuses just what that covers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/model/troubles.h"
#include "lab/model/world.h"

namespace lab {

using SessionId = std::uint64_t;

class Ledger {
public:
    explicit Ledger(const WorldPlan& plan) : plan_(plan) {}

    // ---- Viewers ----
    void asked(SessionId id, int cls, int top, double now, double deadline);
    void answered(SessionId id, const std::string& description, double now);
    void turned_away(SessionId id, bool refused, double now);
    void gave_up(SessionId id, double now);               // the viewer, before an answer
    void viewer_left(SessionId id, double now);           // a session that stood, and said so
    void wants(SessionId id, double seconds);             // it would be watched for so long
    void finds_nobody(int cls, int top, double seconds);  // no agent is there to be asked
    void told_over(SessionId id, double now);             // a release after the answer
    // Its agent died and has returned, and its viewer names it to that: the server where it plays, or -1.
    int claims(SessionId id, int agent);
    bool streams(SessionId id) const;  // at some server, now
    int holder(SessionId id) const;    // the agent that was asked, or to which its viewer has named it since
    void connection_lost(SessionId id, double now);  // with its set-up open
    void crossed_close(SessionId id, double now);  // sent as its agent closed: it is sent again, as a new one

    // ---- Agents ----
    // Killed outright, or its machine lost power. `excuses_until`: only set-ups that came by then are
    // excused.
    void agent_died(int agent, double now, double excuses_until = std::numeric_limits<double>::infinity());
    // Its feed can't tell it anything from now on; what it would have told counts as told at the time given
    // later.
    void feed_unheard(int agent, double now) {
        feeds_.end(agent, now);
        feeds_.begin(agent, now);
    }
    void feed_tells_by(int agent, double at) { feeds_.end(agent, at); }
    void agent_stops(int agent, bool stops, double now);    // as by SIGSTOP and SIGCONT
    void viewers_cut_off(int agent, bool are, double now);  // their connection is down
    // The laboratory's own process could not keep up: nothing that was due then counts as late.
    void laboratory_stalled(double from, double to);
    void link_cut(int agent, int server, bool is, double now);
    void link_reset(int agent, int server, double now);
    // On some of this agent's connections to the server nothing passes from now on, or on none any more.
    void connections_dead(int agent, int server, bool are, double now);

    // ---- Servers ----
    void set_up_came(SessionId id, int server, double now);
    void prepare_came(int server, double now) { work_came(server, -1, now); }  // counts as a set-up would
    void made(SessionId id, const std::string& description);                   // an answer, by a server
    void attempt_over(SessionId id, int server, double now);  // its end is written, or it was given up
    void unrun(SessionId id, int server);                     // full or moot: it never ran
    void stream_begins(SessionId id, int server, int rung, double now, bool handed_over);
    void stream_ends(SessionId id, int server, double now, bool for_hand_over);
    void rung_changed(SessionId id, int server, int rung, double now);
    void delivers(SessionId id, int server, double share, double seconds);  // over the time just past
    // The server holds it no more, and it is not moved. `sent`: false where it could not send its release.
    void server_over(SessionId id, int server, double now, bool sent = true);
    void drained(int server, double now) { drained_[server] = now; }
    void listed(int server) { drained_.erase(server); }
    // `told_late_s`: after which the list tells of it.
    void starts_cold(int server, double now, double told_late_s = 0);
    void server_down(int server) { cold_since_.erase(server); }
    // Frozen, dead or vanished.
    void server_trouble(int server, bool begins, double now);

    // All is over: what was never answered, heard or ended is a violation.
    void close(double now);

    struct Sums {
        std::uint64_t asked = 0, answered = 0, refused = 0, failed = 0, given_up = 0, lost = 0;
        std::uint64_t excused = 0;  // open at a process that died
        std::uint64_t crossed = 0;  // sent as the agent closed
        std::uint64_t paid_asked = 0, paid_answered = 0;
        std::uint64_t sent_cold = 0;  // set-ups and reservations at servers that had just started
        std::uint64_t set_ups = 0, duplicate_setups = 0, double_payments = 0;
        std::uint64_t moves = 0, moved_again = 0;  // hand-overs, and those within 30 s of the one before
        std::uint64_t late_after_drain = 0, cold_pushed_over = 0;
        double fullest_cold = 0;  // the most that came in a window, over what the server bore then
        double worth_offered = 0, worth_earned = 0;
        std::uint64_t claimed = 0;
        double ghost_s = 0;           // streamed for viewers whose agent died, and who did not claim it
        std::vector<double> gaps_ms;  // over hand-overs whose source and target both lived
        double worst_gap_ms = 0;      // over all
    };
    const Sums& sums() const { return sums_; }
    const std::vector<std::string>& violations() const { return violations_; }
    void violate(std::string what, double now);
    // Prints all that is seen of one session: the first thing to look at when a rule is broken.
    void follow(SessionId id) { followed_ = id; }
    // Called when a cold server is sent more than it bears, where that is a figure and not a broken rule.
    void count_falls(std::function<void(int server)> falls) { falls_ = std::move(falls); }

private:
    struct Viewed {
        int cls = 0, top = 0;
        double asked = 0, deadline = 0, answered = 0;
        bool settled = false;  // answered, refused, failed or given up
        bool over = false;
        bool orphan = false;   // the process that held it died
        bool gave_up = false;  // its viewer, before an answer
        int agent = -1;        // that it was named to since
        int streaming_at = -1, last_at = -1, rung = 0;
        double began = 0, last_stop = 0, last_move = 0;  // of its streams
        bool over_unsent = false;                        // the server could not send its release
        bool yielded = false;                            // the last stop was for a hand-over
        int may_have_run = 0, streams = 0, tries = 0;
        double left_at = 0;         // the viewer said so, or was told so, then
        double server_over_at = 0;  // when a server ended it for good
        int over_at_server = -1;
        std::map<int, double> out;       // attempts, by server: when they came
        std::set<std::string> made_for;  // answers that servers gave
    };
    void note(SessionId id, const char* what, int server, double now) const;
    double worth(int cls, int rung) const;
    Viewed* find(SessionId id);
    void work_came(int server, int agent, double now);
    static double chance_over(double mean);
    // Set-ups whose connection was lost: a death of their process may be noticed a little later.
    struct Lost {
        SessionId id = 0;
        double at = 0;
    };
    bool excuse(const Lost& lost);
    bool late(SessionId id, int server, double since, double due, double now) const {
        return late(id, server, since, since, due, now);
    }
    bool late(SessionId id, int server, double troubles_from, double since, double due, double now) const;
    void check_alone(SessionId id, const Viewed& viewed, int server, double now);
    void check_released(SessionId id, const Viewed& viewed, int server, double now);

    const WorldPlan& plan_;
    std::map<SessionId, Viewed> viewed_;
    std::map<int, double> drained_, cold_since_;
    struct Work {
        double at = 0;
        bool told = false;  // its agent had been told of the server's start
    };
    std::map<int, std::deque<Work>> work_;  // that came to cold servers
    std::map<int, double> start_told_at_;
    Troubles servers_, stopped_, unreached_, links_, dead_connections_, stalls_, feeds_;
    struct Death {
        double at = 0, excuses_until = 0;
    };
    std::map<int, std::vector<Death>> deaths_;
    std::vector<Lost> lost_;
    SessionId followed_ = 0;
    std::function<void(int)> falls_;
    Sums sums_;
    std::vector<std::string> violations_;
};

}  // namespace lab
