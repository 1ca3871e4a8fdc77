// Coordinates the hand-overs of one agent: passes time and answers to handover::Move, carries out its orders,
// and asks handover::Planner and the decision module which sessions to move and where to. Stands between the
// session table and the servers' side.
#pragma once

#include <cinderfront/controller.h>

#include <map>
#include <string>
#include <vector>

#include "agent/log.h"
#include "agent/seam.h"
#include "handover/move.h"
#include "handover/planner.h"
#include "handover/ticket.h"
#include "net/loop.h"

namespace jasperspread::agent {

struct HandoverOrder {  // as the operator gives it
    handover::Settings settings;
    std::string key;  // the key file's text; never logged
};

// What the coordinator needs of the session table.
class MovableSessions {
public:
    struct Movable {
        SessionId id = 0;
        ServerNumber server = 0;
        double points = 0;
        const SetUp* asked = nullptr;
    };
    virtual std::vector<Movable> movable() const = 0;
    virtual std::optional<Movable> movable(SessionId id) const = 0;
    virtual void seek(SessionId id) = 0;  // asks the module; offered() may follow at once
    virtual void moved(SessionId id, ServerNumber to, int rung) = 0;
    virtual void lost(SessionId id, cinderfront::Ending how) = 0;  // it stands nowhere any more

protected:
    ~MovableSessions() = default;
};

class HandoverCoordinator {
public:
    HandoverCoordinator(net::Loop& loop, Log& log, const ServerDirectory& directory,
                        MovableSessions& sessions, ServerPort& servers, const HandoverOrder& order,
                        double spread_s, std::uint64_t seed);
    ~HandoverCoordinator();
    HandoverCoordinator(const HandoverCoordinator&) = delete;
    HandoverCoordinator& operator=(const HandoverCoordinator&) = delete;

    void change(const HandoverOrder& order);  // throws handover::KeyError and changes nothing
    void stop() { planner_.stop(); }

    void noted(ServerNumber server, cinderfront::NoteKind kind, double value);
    void offered(const cinderfront::Offer& offer);
    void handed(SessionId id, ServerNumber from, const HandoverReply& reply);
    void ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, cinderfront::Ending how);
    void process_gone(ServerNumber server);
    // The session is being ended, and its own server is told by whoever asks.
    void cancel(SessionId id);
    // Its own server says that it is over. True: it goes on at the target, or that is still open.
    bool source_ended(SessionId id);

    struct UnderWay {
        SessionId session = 0;
        ServerNumber source = 0, target = 0;
        handover::Step step = handover::Step::Preparing;
    };
    std::vector<UnderWay> under_way() const;
    const handover::Planner::Counts& counts() const { return planner_.counts(); }

private:
    struct OngoingHandover {
        handover::Move move;
        ServerNumber source = 0, target = 0;
        std::uint64_t epoch = 0;
        int rung = 0;
        std::string ticket, at_ms;
        bool source_lost = false;    // it is over there, or its server is
        bool source_denied = false;  // what failed was not the target's fault
        cinderfront::Ending end_as = cinderfront::Ending::Dropped;
        net::Deadlines::Key due{0, 0};
    };
    void plan();
    void tell(SessionId id, handover::Input input);
    void carry_out(SessionId id, const std::vector<handover::Order>& orders);
    void send(SessionId id, const OngoingHandover& ongoing, handover::Order order);
    void wait(SessionId id, OngoingHandover& ongoing);
    void settle(SessionId id);

    net::Loop& loop_;
    Log& log_;
    const ServerDirectory& directory_;
    MovableSessions& sessions_;
    ServerPort& servers_;
    handover::Settings settings_;
    handover::TicketKeys keys_;
    handover::Planner planner_;
    std::map<SessionId, OngoingHandover> ongoing_;
    std::uint64_t last_epoch_ = 0;
    net::Timer timer_;
};

}  // namespace jasperspread::agent
