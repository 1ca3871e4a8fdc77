// An agent that comes back, perhaps after a power loss: asks other agents who else lost power, goes through
// the stages in which service returns, and tells the module what may be let in (recovery::Stages). It also
// tells other agents of this one, for as long as agents talk.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "agent/log.h"
#include "agent/peers.h"
#include "agent/session_table.h"
#include "net/loop.h"
#include "recovery/scope.h"
#include "recovery/stages.h"

namespace jasperspread::agent {

struct RecoveryOrder {
    recovery::Settings settings;
    std::string boot, boot_before;  // the kernel's ids; empty: not known
    double machine_s = 0;           // how long this machine has been up; 0: just now
    bool asks_scope = true;         // somebody here wants to know who else lost power
};

class Comeback {
public:
    // What the rest of the agent tells, asked for when it is needed.
    struct Sees {
        std::function<bool()> list_known;
        std::function<std::uint64_t()> revision;
        std::function<SessionTable::Flow(bool paid)> flow;
        // Servers that run since then, as sessions prove that play there.
        std::function<std::vector<std::pair<ServerNumber, double>>()> running;
    };
    // Who hears of it.
    struct Tells {
        std::function<void(recovery::Scope)> scope;  // once, also where it is known at the start
        std::function<void(const cinderfront::Allowance&)> allow;
        std::function<void(const cinderfront::Runs&)> runs;
    };
    Comeback(net::Loop& loop, Log& log, const RecoveryOrder& order, const Profile& profile,
             std::uint64_t seed, Sees sees, Tells tells);

    void talk(Peers& peers);
    recovery::Stage stage() const { return stages_.stage(); }

private:
    struct Other {
        bool pressed = false;
        double heard = 0;
    };
    fleet::Status status();
    void heard(const fleet::Name& by, const fleet::Status& told);
    double others_pressed() const;
    void hail();
    void look();
    void turn();

    net::Loop& loop_;
    Log& log_;
    const Profile& profile_;
    const recovery::Settings set_;
    const double began_, machine_s_;
    Sees sees_;
    Tells tells_;
    recovery::ScopeFinder scope_;
    recovery::Stages stages_;
    recovery::Pressure paid_, rest_;
    recovery::Let let_;
    bool settled_ = false, stays_away_ = false;
    std::string zone_;
    std::mt19937_64 random_;
    std::map<fleet::Name, Other> others_;
    std::size_t told_runs_ = 0;  // where the next status goes on
    const double learns_until_;  // of servers that run
    Peers* peers_ = nullptr;
    net::Timer timer_;
};

}  // namespace jasperspread::agent
