// The servers that the control feed has named: their ids, as text and as the module's numbers, their
// addresses and states.
#pragma once

#include <cinderfront/controller.h>

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/settings.h"
#include "net/socket.h"

namespace jasperspread::agent {

using ServerNumber = std::uint32_t;

struct MemberChange {
    std::string id;
    net::Address address;
    cinderfront::ServerEntry entry;  // its number is given by the directory
};

struct ListChange {
    std::uint64_t number = 0;
    std::uint64_t revision = 0;  // of the list, 0 where it is not told
    bool complete = false;
    std::vector<MemberChange> members;
    std::vector<std::string> unreadable;  // what was wrong with members that are left out
};

// One event of the feed. Throws SettingsError, which names the field.
ListChange read_change(const nlohmann::json& event, const Profile& profile);

struct KnownServer {
    std::string id;
    net::Address address;
    cinderfront::ServerEntry entry;
    std::optional<double> gone_since;  // as forget_gone has seen it
    bool may_take_new() const { return entry.state == cinderfront::ServerState::Up; }
};

class ServerDirectory {
public:
    // Takes the change in and gives the event that tells the module of it.
    cinderfront::ServerList apply(const ListChange& change);
    // All that is there, as an instance that starts is told.
    cinderfront::ServerList restored() const;
    // Drops servers that went a while ago and are not held any more: a fleet that changes for months would
    // fill the memory with them. For a while sessions may still be handed over that played there.
    void forget_gone(double now, const std::function<bool(ServerNumber)>& held);
    // Also finds servers that have gone, while sessions may still stand there.
    const KnownServer* find(ServerNumber number) const;
    // The server whose process listens at the address of this one: the one that was listed there last. Where
    // that is another one, the process of this one is gone, and whoever is reached at its address is its
    // successor.
    ServerNumber holder_of_address(ServerNumber number) const;
    bool is_superseded(ServerNumber number) const { return holder_of_address(number) != number; }
    std::optional<ServerNumber> number_of(const std::string& id) const;
    const std::map<ServerNumber, KnownServer>& servers() const { return servers_; }
    std::uint64_t revision() const { return revision_; }  // of the latest change

private:
    ServerNumber number_for(const std::string& id);
    std::map<std::string, ServerNumber> numbers_;
    std::map<ServerNumber, KnownServer> servers_;
    std::unordered_map<std::uint64_t, ServerNumber> holders_;  // by address
    std::uint64_t revision_ = 0;
};

}  // namespace jasperspread::agent
