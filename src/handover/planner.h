// Which sessions are worth moving, and when: decides without I/O, time and chance passed in. Where to is the
// decision module's business.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "handover/move.h"
#include "handover/settings.h"

namespace jasperspread::handover {

using SessionNumber = std::uint64_t;
using ServerNumber = std::uint32_t;

struct Standing {  // a session that could be moved
    SessionNumber session = 0;
    ServerNumber server = 0;
    bool leaving = false;  // its server drains
};

struct Offer {  // as the module gives it
    SessionNumber session = 0;
    ServerNumber source = 0, target = 0;
    double gain = 0;    // worth a second more than where it is
    double points = 0;  // of its class: the worth of a second at the best rung
};

class Planner {
public:
    // `spread_s`: the time in which other agents hear what this one hears.
    Planner(const Settings& settings, double spread_s, std::uint64_t seed);

    void change(const Settings& settings) { set_ = settings; }
    // Asked and given of a server's link, or the share that it delivers: `share` under 1 is a shortage.
    void noted(ServerNumber server, double share, double now);
    // The sessions to ask the module about now, none while this agent is about to end.
    std::vector<SessionNumber> look(const std::vector<Standing>& standing, double now);
    // Whether to begin the move that the module offers.
    bool accept(const Offer& offer, double now);
    void began(const Offer& offer, double now);
    // A target that did not do its part is left alone for a while.
    void over(SessionNumber session, Step how, bool target_failed, double now);
    void stop() { stopped_ = true; }  // SIGTERM: nothing new begins, what is under way goes on
    void forget(SessionNumber session) { rested_from_.erase(session); }

    struct Counts {
        std::uint64_t asked = 0, begun = 0, moved = 0, stayed = 0, ended = 0;
        std::uint64_t not_worth = 0, target_busy = 0, backed_off = 0, over_budget = 0;
    };
    const Counts& counts() const { return counts_; }
    std::size_t under_way() const { return moves_.size(); }

private:
    struct Condition {
        double share = 1, noted = 0;
    };
    struct BackOff {
        double until = 0, pause = 0;
    };
    bool is_short(ServerNumber server, double now) const;
    bool in_budget(double now);
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    Settings set_;
    const double spread_s_;
    std::mt19937_64 random_;
    std::map<ServerNumber, Condition> conditions_;
    std::map<ServerNumber, BackOff> back_offs_;
    std::map<SessionNumber, Offer> moves_;
    std::map<SessionNumber, double> rested_from_;
    std::deque<double> begun_;  // inside the last minute
    double looked_ = 0;
    bool stopped_ = false;
    Counts counts_;
};

}  // namespace jasperspread::handover
