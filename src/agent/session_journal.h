// A write-ahead journal between the session table and the servers: a set-up of a paid class is on disk before
// its first byte is sent, and a session that stands is recorded until it ends. Where nothing is stored there
// is no journal (docs/design/store.md).
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/memory.h"
#include "agent/peers.h"
#include "agent/seam.h"
#include "agent/session_reconciler.h"
#include "agent/settings.h"
#include "recovery/list_guard.h"

namespace jasperspread::agent {

class SessionJournal final : public ServerPort, public ServerEvents {
public:
    SessionJournal(net::Loop& loop, Log& log, const MemoryOrder& order, const Profile& profile,
                   const ServerDirectory& directory, ServerEvents& events);
    void connect(ServerPort& servers);  // before the first set-up
    void listed();
    // Others can be asked from here on.
    void talk(Peers& peers) { reconciler_.talk(peers); }
    // A session that its viewer says plays at this server.
    void claimed(SessionId id, ServerNumber server) { reconciler_.claimed(id, server); }
    // Who else lost power is known from here on.
    void scope_is(recovery::Scope scope) { reconciler_.scope_is(scope); }
    bool list_is_behind() const { return list_.behind(loop_.now()); }
    const Memory& memory() const { return memory_; }
    const SessionReconciler& reconciler() const { return reconciler_; }

    void set_up(const Attempt& attempt) override;
    AttemptProgress give_up(SessionId id) override;
    void set_rung(SessionId id, int rung) override;
    void end_session(SessionId id) override;
    void adopt(SessionId id, ServerNumber server) override;
    void forget(SessionId id) override;
    bool hands_over(ServerNumber server) const override { return servers_->hands_over(server); }
    void hand_over(const HandoverMessage& message) override { servers_->hand_over(message); }
    void reassign(SessionId id, ServerNumber server, int rung) override;
    void set_epoch(SessionId id, std::uint64_t epoch) override { servers_->set_epoch(id, epoch); }
    void end_at(SessionId id, ServerNumber server, std::uint64_t epoch) override {
        servers_->end_at(id, server, epoch);
    }
    void probe(ServerNumber server) override { servers_->probe(server); }
    void close_idle(ServerNumber server) override { servers_->close_idle(server); }

    void started(SessionId id, const std::string& description) override;
    void attempt_ended(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load) override;
    void session_ended(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load) override;
    void noted(SessionId id, cinderfront::NoteKind kind, double value) override;
    void answered_late(SessionId id, ServerNumber server) override { events_.answered_late(id, server); }
    void probed(ServerNumber server, cinderfront::Ending how, double latency,
                const cinderfront::LoadReport& load) override {
        events_.probed(server, how, latency, load);
    }
    void handed(SessionId id, ServerNumber from, const HandoverReply& reply) override {
        events_.handed(id, from, reply);
    }
    void ended_at(SessionId id, ServerNumber from, std::uint64_t epoch, cinderfront::Ending how) override {
        events_.ended_at(id, from, epoch, how);
    }
    void process_gone(ServerNumber server) override {
        reconciler_.process_gone(server);
        events_.process_gone(server);
    }

private:
    struct Entry {
        ServerNumber server = 0;
        std::string class_name, title;
        bool paid = false;
        std::optional<Attempt> waits;  // for its record
    };
    bool is_paid(const std::string& class_name) const;
    bool may_take_new(ServerNumber number) const;
    store::SessionRecord record_of(SessionId id, const Entry& entry, store::Phase phase) const;
    void record_written(SessionId id, bool is);
    void drop(SessionId id);  // its entry and its record

    net::Loop& loop_;
    Log& log_;
    const Profile& profile_;
    const ServerDirectory& directory_;
    ServerEvents& events_;
    const bool serves_without_;
    const std::uint64_t incarnation_;
    ServerPort* servers_ = nullptr;
    std::map<SessionId, Entry> entries_;
    Memory memory_;
    SessionReconciler reconciler_;
    recovery::ListGuard list_;
    bool behind_ = false;
};

}  // namespace jasperspread::agent
