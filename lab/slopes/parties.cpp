#include "parties.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/server_codec.h"

namespace lab {

using jasperspread::codec::ServerMessage;
using jasperspread::codec::ServerVerb;

namespace {

constexpr double long_s = 3600;  // for whatever should not happen while something is measured
constexpr int cause_over = 16;

ServerMessage word(ServerVerb verb, std::uint64_t session) {
    ServerMessage message;
    message.verb = verb;
    message.session = session;
    return message;
}

ServerMessage note_of(std::uint64_t session) {
    ServerMessage note = word(ServerVerb::Notice, session);
    note.fields = {{"note", "local"}, {"value", "0.001"}};
    return note;
}

}  // namespace

// ---- The plan ----

WorldPlan roomy_plan(int servers) {
    WorldPlan plan;
    plan.agents = 450;
    constexpr int rack_servers = 20;
    plan.servers = plan.cells = servers;
    plan.racks = std::max(1, servers / rack_servers);
    plan.zones = 6;
    plan.link_kb = 1e12;
    plan.rack_part = 1.5;
    plan.places = 1000000;
    plan.told_every = long_s;
    plan.cold.warm_s = 0;
    for (ClassPlan& cls : plan.classes) cls.aim = cls.deadline = 120;
    return plan;
}

nlohmann::json roomy_config(const WorldPlan& plan, const jasperspread::net::Address& listen,
                            const jasperspread::net::Address& feed, const std::vector<Member>& members) {
    const nlohmann::json known = {{"n", 1}, {"events", {feed_event(plan, 1, true, members)}}};
    nlohmann::json config = agent_config(plan, 0, listen, feed, known);
    // Viewers hold half of them: more are named than the process may have, so that its limit is the only one.
    config["limits"]["sockets"] = 40000;
    config["settings"]["limits"]["conn_idle"] = long_s;
    config["settings"]["limits"]["streams_per_conn"] = 100000;
    return config;
}

// ---- The feed ----

RigFeed::RigFeed(jasperspread::net::Loop& loop) : Party(loop), timer_(loop) {
    comment();
}

std::size_t RigFeed::heard(std::uint64_t number, std::string_view bytes) {
    if (bytes.find("\r\n\r\n") == std::string_view::npos) return 0;
    connection(number)->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    return bytes.size();
}

void RigFeed::comment() {
    for (const auto& [number, to] : connections_) to->send(": still here\n\n");
    timer_.set(loop_.now() + 1, [this] { comment(); });
}

std::size_t RigFeed::tell(const WorldPlan& plan, bool complete, const std::vector<Member>& members) {
    const std::uint64_t number = ++events_;
    const std::string text = "id: " + std::to_string(number) +
                             "\ndata: " + feed_event(plan, number, complete, members).dump() + "\n\n";
    for (const auto& [connection_number, to] : connections_) to->send(text);
    return text.size();
}

// ---- The server ----

std::size_t RigServer::heard(std::uint64_t number, std::string_view bytes) {
    std::size_t taken = 0;
    while (const auto decoded = jasperspread::codec::decode_server(bytes.substr(taken))) {
        taken += decoded->size;
        const std::uint64_t session = decoded->message.session;
        Connection& to = *connection(number);
        if (decoded->message.verb == ServerVerb::Start) {
            ServerMessage started = word(ServerVerb::Started, session);
            started.description = "played by the rig";
            sessions_[session] = number;
            to.send(encode(started) + encode(note_of(session)));
        } else if (decoded->message.verb == ServerVerb::Finish) {
            sessions_.erase(session);
            to.send(encode(word(ServerVerb::Finished, session)));
        }
    }
    return taken;
}

void RigServer::end(std::uint64_t session, std::uint64_t on) {
    ServerMessage over = word(ServerVerb::Finish, session);
    over.cause = cause_over;
    Connection* to = connection(on);
    if (to == nullptr && !connections_.empty()) to = connections_.begin()->second.get();
    if (to != nullptr) to->send(encode(over));
}

void RigServer::end_all() {
    for (const auto& [session, on] : std::exchange(sessions_, {})) end(session, on);
}

void RigServer::end_claimed(std::uint64_t first, std::uint64_t count) {
    for (std::uint64_t session = first; session < first + count; ++session) end(session, 0);
}

void RigServer::end_one() {
    const auto first = sessions_.extract(sessions_.begin());
    end(first.key(), first.mapped());
}

void RigServer::note_one() {
    if (!sessions_.empty() && !connections_.empty())
        connections_.begin()->second->send(encode(note_of(sessions_.rbegin()->first)));
}

void RigServer::die() {
    sessions_.clear();
    stop_listening();
    drop_all();
}

}  // namespace lab
