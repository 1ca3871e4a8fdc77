// Which connection to a lesson server goes, and which one is opened, where there is no room for all.
#include <algorithm>

#include "server_connections.h"

namespace jasperspread::agent {

namespace {

// A connection must have rested so long before it makes room: what was said last on it has been read by then.
constexpr double rested_s = 0.25;
// And a brief one, on which a server may still send what it has held, so long.
constexpr double lingers_s = 1.25;

}  // namespace

// How many servers need a connection more than this.
std::size_t ServerConnections::servers_before(Need need) const {
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [this, need](const auto& entry) {
            const auto& [number, at] = entry;
            return lacks_connection(number, at) || (need == Need::SetUp && wants_replacement(number, at));
        }));
}

// At the bound, connections that rest make room, and for a server that has none also silent ones that have
// been replaced. Servers without a connection go before replacements, and these before new set-ups.
bool ServerConnections::has_room(Need need) {
    const auto fits = [&] {
        if (links_ >= limits_.connections) return false;
        const bool may_be_short = links_ + servers_.size() >= limits_.connections;
        return need == Need::Required || !may_be_short || links_ + servers_before(need) < limits_.connections;
    };
    while (!fits()) {
        const bool made =
            close_lingering() || close_resting() || (need == Need::Required && close_replaced());
        if (!made) return false;
    }
    return true;
}

// Closes a brief connection that is only read any more; false: there is none.
bool ServerConnections::close_lingering() {
    for (auto& [number, at] : servers_) {
        const auto lingering = std::find_if(at.links.begin(), at.links.end(), [this](const auto& link) {
            return link->brief && link->closing && link->used + lingers_s <= loop_.now();
        });
        if (lingering == at.links.end()) continue;
        close_now(**lingering, "room for one that is needed");
        return true;
    }
    return false;
}

// Closes a silent connection beside which another one is open; false: there is none.
bool ServerConnections::close_replaced() {
    for (auto& [number, at] : servers_) {
        const auto replaced = std::find_if(at.links.begin(), at.links.end(), [this](const auto& link) {
            return link->avoided && link->connection.is_open() && !link->closing &&
                   !user_.waits_for_answer(*link);
        });
        if (replaced == at.links.end() || staying(at) <= 1) continue;
        at.closed_unheard = at.closed_unheard || !(*replaced)->sessions.empty();
        close_now(**replaced, "room for one that is needed");
        return true;
    }
    return false;
}

// Closes the connection that rested longest of those that nothing needs; false: there is none.
bool ServerConnections::close_resting() {
    Link* oldest = nullptr;
    for (const auto& [number, at] : servers_) {
        const bool last_is_needed = user_.has_sessions(number) && staying(at) <= 1;
        for (const auto& link : at.links) {
            const bool rests = link->connection.is_open() && !link->closing && link->sessions.empty() &&
                               link->used + rested_s <= loop_.now() && !link->connection.has_unread();
            if (!rests || last_is_needed) continue;
            if (oldest == nullptr || link->used < oldest->used) oldest = link.get();
        }
    }
    if (oldest == nullptr) return false;
    close_now(*oldest, "room for one that is needed");
    return true;
}

}  // namespace jasperspread::agent
