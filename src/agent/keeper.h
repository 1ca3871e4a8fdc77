// Stands between the sessions and the servers where an agent remembers: a set-up of a paid class is on disk
// before its first byte goes out, and a session that stands is remembered until it is over. Where nothing is
// remembered there is no keeper (docs/design/store.md).
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/memory.h"
#include "agent/peers.h"
#include "agent/returner.h"
#include "agent/seam.h"
#include "agent/settings.h"
#include "recovery/list_guard.h"

namespace jasperspread::agent {

class Keeper final : public ServerPort, public ServerEvents {
public:
    Keeper(net::Loop& loop, Log& log, const MemoryOrder& order, const Profile& profile,
           const ServerDirectory& directory, ServerEvents& events);
    void connect(ServerPort& servers);  // before the first set-up
    void listed();
    // Others can be asked from here on.
    void talk(Peers& peers) { returner_.talk(peers); }
    // A session that its viewer says plays at this server.
    void claimed(SessionId id, ServerNumber server) { returner_.claimed(id, server); }
    // Who else lost power is known from here on.
    void scope_is(recovery::Scope scope) { returner_.scope_is(scope); }
    bool list_is_behind() const { return list_.behind(loop_.now()); }
    const Memory& memory() const { return memory_; }
    const Returner& returner() const { return returner_; }

    void set_up(const Attempt& attempt) override;
    GivenUp give_up(SessionId id) override;
    void set_rung(SessionId id, int rung) override;
    void end_session(SessionId id) override;
    void adopt(SessionId id, ServerNumber server) override;
    void forget(SessionId id) override;
    bool hands_over(ServerNumber server) const override { return servers_->hands_over(server); }
    void hand_over(const HandoverWord& word) override { servers_->hand_over(word); }
    void rehome(SessionId id, ServerNumber server, int rung) override;
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
        returner_.process_gone(server);
        events_.process_gone(server);
    }

private:
    struct Kept {
        ServerNumber server = 0;
        std::string class_name, title;
        bool paid = false;
        std::optional<Attempt> waits;  // for its record
    };
    bool is_paid(const std::string& class_name) const;
    bool may_take_new(ServerNumber number) const;
    store::SessionRecord record_of(SessionId id, const Kept& kept, store::Phase phase) const;
    void kept(SessionId id, bool is);
    void drop(SessionId id);  // its entry and its record

    net::Loop& loop_;
    Log& log_;
    const Profile& profile_;
    const ServerDirectory& directory_;
    ServerEvents& events_;
    const bool serves_without_;
    const std::uint64_t life_;
    ServerPort* servers_ = nullptr;
    std::map<SessionId, Kept> kept_;
    Memory memory_;
    Returner returner_;
    recovery::ListGuard list_;
    bool behind_ = false;
};

}  // namespace jasperspread::agent
