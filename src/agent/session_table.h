// The sessions of this agent. Turns what both sides report into events of the decision module, and its
// actions into calls of both sides. Sees to it that every set-up gets one final answer and every attempt one
// outcome.
#pragma once

#include <cinderfront/controller.h>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/handover_coordinator.h"
#include "agent/log.h"
#include "agent/recent_ids.h"
#include "agent/request_log.h"
#include "agent/seam.h"
#include "agent/session_bounds.h"
#include "net/loop.h"

namespace jasperspread::agent {

class SessionTable : public ViewerEvents, public ServerEvents, private MovableSessions {
public:
    SessionTable(net::Loop& loop, Log& log, const cinderfront::Settings& settings, std::uint64_t seed,
                 const ServerDirectory& directory, std::size_t memory);
    // Both sides must be there before the first event.
    void connect(ViewerPort& viewers, ServerPort& servers);

    void listed(const cinderfront::ServerList& list) { tell(list); }

    void set_up(const SetUp& set_up) override;
    void given_up(SessionId id) override;
    bool may_have_run(SessionId id) override;
    bool may_take_over(const SetUp& set_up) override;

    void started(SessionId id, const std::string& description) override;
    void answered_late(SessionId id, ServerNumber server) override { requests_.late_answer(id, server); }
    void attempt_ended(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load) override;
    void session_ended(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load) override;
    void noted(SessionId id, cinderfront::NoteKind kind, double value) override;
    void probed(ServerNumber server, cinderfront::Ending how, double latency,
                const cinderfront::LoadReport& load) override;

    void handed(SessionId id, ServerNumber from, const HandoverReply& reply) override;
    void ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, cinderfront::Ending how) override;
    void process_gone(ServerNumber server) override;

    // Sessions are handed over from here on, or by other settings. Throws handover::KeyError.
    void hand_over(const HandoverOrder& order);
    void begin_no_moves();
    const HandoverCoordinator* handovers() const { return handovers_.get(); }

    // Answers all set-ups that are open, and refuses each that still comes: this agent is about to go.
    void take_no_more();
    // Ends what stands, towards both sides: this agent is about to go.
    void end_all();
    bool holds(SessionId id) const;  // asked for or standing here
    std::size_t unanswered() const { return unanswered_; }
    std::size_t standing() const { return standing_; }
    // What may be let in from here on (src/recovery).
    void allow(const cinderfront::Allowance& allowance) { tell(allowance); }
    void learn(const cinderfront::ServerRunning& running) { tell(running); }
    struct Flow {  // since the start
        std::uint64_t asked = 0, answered = 0, turned = 0;
    };
    void report() { requests_.report(); }  // what became of all requests up to now, as a line of the log
    const Flow& flow(bool paid) const { return flows_[paid ? 1 : 0]; }

private:
    enum class Phase { Asked, Standing, Answered };  // Answered: over for the viewer, an attempt's end is due
    struct Session {
        SetUp asked;
        Phase phase = Phase::Asked;
        bool out = false;  // an attempt is at `server`, as set-up or as session
        std::uint32_t attempts = 0;
        ServerNumber server = 0;
        int rung = 0;
        double sent_at = 0;
        bool may_have_run = false;
        std::optional<ServerNumber> handed_over_at;
        std::vector<ServerNumber> unsettled;  // where an attempt may have run that no server has settled
        net::Deadlines::Key cap{0, 0}, net{0, 0};
    };

    void tell(cinderfront::Event event);
    void act(const cinderfront::Send& action);
    void act(const cinderfront::SetRung& action);
    void act(const cinderfront::Cancel& action);
    void act(const cinderfront::Refuse& action);
    void act(const cinderfront::Fail& action);
    void act(const cinderfront::Move& action);
    void act(const cinderfront::Offer& action);
    void act(const cinderfront::Timer& action);
    void act(const cinderfront::Probe& action);
    void act(const cinderfront::CloseIdle& action);
    void act(const cinderfront::Tell& action);
    void act(const cinderfront::Subscribe&) {}  // the feed is always followed
    void act(const cinderfront::FetchList&) {}
    void act(const cinderfront::Trace& action);

    std::vector<Movable> movable() const override;
    std::optional<Movable> movable(SessionId id) const override;
    void seek(SessionId id) override { tell(cinderfront::Seek{id}); }
    void moved(SessionId id, ServerNumber to, int rung) override;
    void lost(SessionId id, cinderfront::Ending how) override;
    Movable movable_of(SessionId id, const Session& session) const;

    Session* find(SessionId id);
    Session& add(SessionId id, const SetUp& set_up);
    void take_over(const SetUp& set_up);
    double runs_at_most(ServerNumber server) const;
    void set_phase(Session& session, Phase phase);
    void end_attempt(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load);
    void withdraw(SessionId id, Session& session, cinderfront::Ending how);
    void answer_in_time(SessionId id);
    void answer_unserved(SessionId id, Session& session, SettledBy who);
    void withdraw_unwanted(SessionId id);
    std::vector<SessionId> ids_in(Phase phase) const;
    void drop_if_done(SessionId id);
    Flow& flow_of(const Session& session);
    void drop_deadline(net::Deadlines::Key& key);
    bool may_live_at_address(const Session& session, ServerNumber server) const;

    net::Loop& loop_;
    Log& log_;
    RequestLog requests_;
    const cinderfront::Settings settings_;
    const ServerDirectory& directory_;
    cinderfront::Controller module_;
    ViewerPort* viewers_ = nullptr;
    ServerPort* servers_ = nullptr;
    std::unordered_map<SessionId, Session> sessions_;
    SessionBounds bounds_;
    RecentIds recent_;  // of set-ups that are over
    std::size_t unanswered_ = 0, standing_ = 0;
    std::array<Flow, 2> flows_;  // of other classes, of paid ones
    std::deque<cinderfront::Event> events_;
    bool telling_ = false, takes_no_more_ = false;
    std::unique_ptr<HandoverCoordinator> handovers_;  // where sessions are handed over
};

}  // namespace jasperspread::agent
