#include "directory.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "codec/message.h"

namespace jasperspread::agent {
namespace {

using cinderfront::ServerState;
using Json = nlohmann::json;

constexpr double most_count = 1e9, most_ms = 1e15;

std::uint64_t key_of(const net::Address& address) {
    constexpr int port_bits = 16;
    return (std::uint64_t{address.in.sin_addr.s_addr} << port_bits) | address.in.sin_port;
}

const Json& member(const Json& object, const char* name) {
    const auto it = object.is_object() ? object.find(name) : object.end();
    if (!object.is_object() || it == object.end()) throw SettingsError(std::string("expected ") + name);
    return *it;
}

std::string text(const Json& object, const char* name) {
    const Json& value = member(object, name);
    if (!value.is_string()) bad(std::string(name) + " (a text)", value.dump());
    return value.get<std::string>();
}

double number(const Json& object, const char* name, double most) {
    const Json& value = member(object, name);
    const double read = value.is_number() ? value.get<double>() : -1;
    if (!(read >= 0 && read <= most))
        bad(std::string(name) + " (a number from 0 on, in bounds)", value.dump());
    return read;
}

MemberChange read_member(const Json& json, const Profile& profile) {
    MemberChange change;
    change.id = text(json, "id");
    change.entry.state = choice<ServerState>(
        {{"up", ServerState::Up}, {"draining", ServerState::Leaving}, {"removed", ServerState::Gone}},
        text(json, "phase"), "up, draining or removed");
    const std::string host_port = text(json, "host_port");
    const auto address = net::parse_address(host_port);
    if (!address) bad("host_port (an address and port)", host_port);
    change.address = *address;
    change.entry.zone = static_cast<std::uint32_t>(
        index_of(profile.zone_names, plain_name(text(json, "locality")), "locality"));
    change.entry.kind =
        static_cast<std::uint32_t>(index_of(profile.kind_names, plain_name(text(json, "flavor")), "flavor"));
    change.entry.cell = static_cast<std::uint32_t>(number(json, "cell", most_count));
    change.entry.size = number(json, "size", most_count);
    if (const double since = number(json, "up_since_ms", most_ms); since > 0)
        change.entry.last_start = since / 1000;
    return change;
}

}  // namespace

ListChange read_change(const Json& event, const Profile& profile) {
    ListChange change;
    const Json& count = member(event, "n");
    if (!count.is_number_unsigned()) bad("n (a whole number)", count.dump());
    change.number = count.get<std::uint64_t>();
    const Json& list = member(event, "members");
    const Json& complete = member(list, "complete");
    const auto revision = list.find("revision");
    if (revision != list.end() && revision->is_number_unsigned())
        change.revision = revision->get<std::uint64_t>();
    if (!complete.is_boolean()) bad("complete (true or false)", complete.dump());
    change.complete = complete.get<bool>();
    const Json& members = member(list, "members");
    if (!members.is_array()) bad("members (a list)", members.dump());
    for (const Json& one : members) {
        try {
            change.members.push_back(read_member(one, profile));
        } catch (const SettingsError& error) {
            change.unreadable.emplace_back(error.what());
        }
    }
    return change;
}

// The digits of an id are its number, so that every agent uses the same one. An id of another form, or one
// whose number is taken, gets the next free number after its hash.
ServerNumber ServerDirectory::number_for(const std::string& id) {
    if (const auto it = numbers_.find(id); it != numbers_.end()) return it->second;
    const auto digits =
        id.starts_with("s-") ? codec::parse_hex(std::string_view(id).substr(2)) : std::nullopt;
    ServerNumber value = 2166136261;
    if (digits && *digits <= std::numeric_limits<ServerNumber>::max()) {
        value = static_cast<ServerNumber>(*digits);
    } else {
        for (const char c : id) value = (value ^ static_cast<unsigned char>(c)) * 16777619;
    }
    while (servers_.contains(value)) ++value;
    numbers_.emplace(id, value);
    return value;
}

cinderfront::ServerList ServerDirectory::apply(const ListChange& change) {
    cinderfront::ServerList list;
    list.kind = change.complete ? cinderfront::ListKind::Replace : cinderfront::ListKind::Update;
    revision_ = change.revision;
    std::set<ServerNumber> named;
    for (const MemberChange& member : change.members) {
        const ServerNumber own = number_for(member.id);
        const auto [known, is_new] = servers_.try_emplace(own);
        KnownServer& server = known->second;
        const bool arrives =
            is_new || server.entry.state == ServerState::Gone || !(server.address == member.address);
        server.id = member.id;
        server.address = member.address;
        server.entry = member.entry;
        server.entry.server = own;
        if (arrives && server.entry.state != ServerState::Gone) holders_[key_of(server.address)] = own;
        named.insert(own);
        list.entries.push_back(server.entry);
    }
    for (auto& [own, server] : servers_) {
        if (change.complete && !named.contains(own)) server.entry.state = ServerState::Gone;
    }
    return list;
}

cinderfront::ServerList ServerDirectory::restored() const {
    cinderfront::ServerList list;
    list.kind = cinderfront::ListKind::Restored;
    for (const auto& [own, server] : servers_) {
        if (server.entry.state != ServerState::Gone) list.entries.push_back(server.entry);
    }
    return list;
}

ServerNumber ServerDirectory::holder_of_address(ServerNumber number) const {
    const KnownServer* known = find(number);
    if (known == nullptr) return number;
    const auto holder = holders_.find(key_of(known->address));
    return holder == holders_.end() ? number : holder->second;
}

void ServerDirectory::forget_gone(double now, const std::function<bool(ServerNumber)>& held) {
    constexpr double remembered_s = 60;
    for (auto it = servers_.begin(); it != servers_.end();) {
        auto& [number, server] = *it;
        const bool gone = server.entry.state == ServerState::Gone;
        server.gone_since = gone ? std::optional(server.gone_since.value_or(now)) : std::nullopt;
        const bool forget = gone && now >= *server.gone_since + remembered_s && !held(number);
        if (forget) {
            numbers_.erase(server.id);
            std::erase_if(holders_, [own = number](const auto& holder) { return holder.second == own; });
        }
        it = forget ? servers_.erase(it) : std::next(it);
    }
}

const KnownServer* ServerDirectory::find(ServerNumber number) const {
    const auto it = servers_.find(number);
    return it == servers_.end() ? nullptr : &it->second;
}

std::optional<ServerNumber> ServerDirectory::number_of(const std::string& id) const {
    const auto it = numbers_.find(id);
    if (it == numbers_.end()) return std::nullopt;
    return it->second;
}

}  // namespace jasperspread::agent
