// Carries out what recovery::Returning decides of the sessions of the life before: listens at their servers,
// asks other agents, and releases what nobody watches.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/memory.h"
#include "agent/peers.h"
#include "agent/seam.h"
#include "recovery/returning.h"

namespace jasperspread::agent {

class Returner {
public:
    // `zone`: where this agent stands.
    Returner(net::Loop& loop, Log& log, const MemoryOrder& order, std::optional<std::uint32_t> zone,
             const ServerDirectory& directory, Memory& memory);
    void connect(ServerPort& servers);
    void listed();
    void talk(Peers& peers);

    void scope_is(recovery::Scope scope);

    bool holds(SessionId id) const { return returning_.holds(id); }
    void claimed(SessionId id, ServerNumber server);
    void plays(SessionId id) { returning_.plays(id); }
    void ended(SessionId id);
    void process_gone(ServerNumber server);
    const recovery::Returning& returning() const { return returning_; }

private:
    struct Stay {
        std::string server;  // its id in the list
        double at = 0;       // when that was written
        bool intent = false;
        std::optional<ServerNumber> number;
    };
    recovery::Trust trust_of(const Stay& stay, recovery::Scope scope) const;
    std::vector<std::string> others() const;  // that can be asked
    void turn();
    void wait();

    net::Loop& loop_;
    Log& log_;
    const std::optional<std::uint32_t> zone_;
    const ServerDirectory& directory_;
    Memory& memory_;
    recovery::Returning returning_;
    std::map<SessionId, Stay> stays_;
    std::size_t remembered_ = 0;
    ServerPort* servers_ = nullptr;
    Peers* peers_ = nullptr;
    net::Timer timer_;
};

}  // namespace jasperspread::agent
