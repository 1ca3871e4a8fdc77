// Reconciles the sessions that the store remembers of this agent's previous incarnation: listens at their
// servers, asks other agents, and releases what nobody watches. recovery::Reconciliation decides.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/memory.h"
#include "agent/peers.h"
#include "agent/seam.h"
#include "recovery/reconciliation.h"

namespace jasperspread::agent {

class SessionReconciler {
public:
    // `zone`: where this agent stands.
    SessionReconciler(net::Loop& loop, Log& log, const MemoryOrder& order, std::optional<std::uint32_t> zone,
                      const ServerDirectory& directory, Memory& memory);
    void connect(ServerPort& servers);
    void listed();
    void talk(Peers& peers);

    void scope_is(recovery::Scope scope);

    bool holds(SessionId id) const { return reconciliation_.holds(id); }
    void claimed(SessionId id, ServerNumber server);
    void plays(SessionId id) { reconciliation_.plays(id); }
    void ended(SessionId id);
    void process_gone(ServerNumber server);
    const recovery::Reconciliation& reconciliation() const { return reconciliation_; }

private:
    struct RememberedSession {
        std::string server;  // its id in the list
        double at = 0;       // when that was written
        bool intent = false;
        std::optional<ServerNumber> number;
    };
    recovery::Trust trust_of(const RememberedSession& session, recovery::Scope scope) const;
    std::vector<std::string> known_peers() const;  // that can be asked
    void step();
    void schedule();

    net::Loop& loop_;
    Log& log_;
    const std::optional<std::uint32_t> zone_;
    const ServerDirectory& directory_;
    Memory& memory_;
    recovery::Reconciliation reconciliation_;
    std::map<SessionId, RememberedSession> sessions_;
    std::size_t remembered_ = 0;
    ServerPort* servers_ = nullptr;
    Peers* peers_ = nullptr;
    net::Timer timer_;
};

}  // namespace jasperspread::agent
