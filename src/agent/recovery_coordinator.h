// Coordinates recovery after a start, perhaps after a power loss: asks other agents who else lost power, goes
// through the stages in which service is restored, and sets the admission allowance of the decision module
// (recovery::Stages). Also reports this agent's status to other agents.
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

class RecoveryCoordinator {
public:
    // State of the rest of the agent, read when it is needed.
    struct Inputs {
        std::function<bool()> list_known;
        std::function<std::uint64_t()> revision;
        std::function<SessionTable::Flow(bool paid)> flow;
        // Servers that run since then, as sessions prove that play there.
        std::function<std::vector<std::pair<ServerNumber, double>>()> running;
    };
    // Called when something has been decided or learnt.
    struct Callbacks {
        std::function<void(recovery::Scope)> scope;  // once, also where it is known at the start
        std::function<void(const cinderfront::Allowance&)> allow;
        std::function<void(const cinderfront::ServerRunning&)> server_running;
    };
    RecoveryCoordinator(net::Loop& loop, Log& log, const RecoveryOrder& order, const Profile& profile,
                        std::uint64_t seed, Inputs inputs, Callbacks callbacks);

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
    void query_peers();
    void update_pressure();
    void step();

    net::Loop& loop_;
    Log& log_;
    const Profile& profile_;
    const recovery::Settings set_;
    const double began_, machine_s_;
    Inputs inputs_;
    Callbacks callbacks_;
    recovery::ScopeFinder scope_;
    recovery::Stages stages_;
    recovery::Pressure paid_, rest_;
    recovery::Let let_;
    bool settled_ = false, stays_away_ = false;
    std::string zone_;
    std::mt19937_64 random_;
    std::map<fleet::Name, Other> others_;
    std::size_t next_running_server_ = 0;  // where the next status goes on
    const double learn_servers_until_;     // of servers that run
    Peers* peers_ = nullptr;
    net::Timer timer_;
};

}  // namespace jasperspread::agent
