#include "server_connections.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "codec/message.h"

namespace jasperspread::agent {

using net::Connection;

namespace {

constexpr std::size_t links_per_server = 6;
// Part of the server's idle time: no set-up goes out on a connection that rested longer. The server's own
// close must never meet a set-up.
constexpr double stale_part_of_idle = 0.7;
constexpr double maintain_every_s = 0.25;
// A release is sent again on another connection after the first pause, which doubles; no longer than the
// server may hang or be cut off.
constexpr RetransmitQueue::Times release_times{30, 1};
constexpr std::size_t most_releases = 1024;  // of one server
constexpr double closed_heard_within_s =
    1;  // by a server that is heard again, of connections closed meanwhile
constexpr double longest_connect_pause_s = 4, longest_with_sessions_s = 1;
// A brief connection is closed towards the server after so long without traffic, and still read for so long:
// a server that stood still sends what it has held there only once it runs again.
constexpr double brief_s = 1, brief_read_s = 7;

}  // namespace

double ServerConnections::draw() {
    if (!random_) random_.emplace(loop_.kernel().random());
    return std::uniform_real_distribution<double>(0, 1)(*random_);
}

ServerConnections::Server& ServerConnections::server(ServerNumber number) {
    Server& at = servers_.try_emplace(number, silence_).first->second;
    if (!at.maintenance) at.maintenance = std::make_unique<net::Timer>(loop_);
    return at;
}

// From here on it owes signs of life. What was noted while nothing stood there says nothing of that.
void ServerConnections::sessions_begin(ServerNumber number) {
    note_heard(server(number));
}

void ServerConnections::note_heard(Server& at) {
    at.watch.heard(loop_.now());
    at.connect_pause = at.connect_not_before = 0;
    if (std::exchange(at.closed_unheard, false)) at.reopen_at = loop_.now() + closed_heard_within_s;
}

void ServerConnections::drop_releases(ServerNumber number) {
    server(number).releases.reset();
}

void ServerConnections::drop_pending(ServerNumber number) {
    server(number).pending.clear();
    server(number).watch.forget_timeouts();
}

bool ServerConnections::holds(ServerNumber number) {
    const auto it = servers_.find(number);
    if (it == servers_.end()) return false;
    if (!it->second.links.empty() || !it->second.pending.empty() || it->second.releases) return true;
    servers_.erase(it);
    return false;
}

std::size_t ServerConnections::staying(const Server& at) {
    return static_cast<std::size_t>(
        std::count_if(at.links.begin(), at.links.end(), [](const auto& link) { return !link->closing; }));
}

bool ServerConnections::is_sound(const Link& link) {
    return link.connection.is_open() && !link.closing && !link.avoided && !link.brief;
}

bool ServerConnections::has_sound(const Server& at, const Link* beside) {
    return std::any_of(at.links.begin(), at.links.end(),
                       [&](const auto& link) { return link.get() != beside && is_sound(*link); });
}

bool ServerConnections::has_stalled(const Server& at) {
    return std::any_of(at.links.begin(), at.links.end(), [](const auto& link) { return link->stalled; });
}

bool ServerConnections::needs_connection(ServerNumber number, const Server& at) const {
    return user_.has_sessions(number) || !at.pending.empty() || at.releases;
}

// Whether a server needs a connection that is not there: it could tell of no end.
bool ServerConnections::lacks_connection(ServerNumber number, const Server& at) const {
    return staying(at) == 0 && needs_connection(number, at);
}

bool ServerConnections::wants_replacement(ServerNumber number, const Server& at) const {
    return at.wants_new && !is_connecting(at) && needs_connection(number, at);
}

ServerConnections::Link* ServerConnections::open(ServerNumber number, Need need) {
    const KnownServer* known = directory_.find(number);
    Server& at = server(number);
    if (directory_.is_superseded(number)) known = nullptr;
    if (known == nullptr || at.links.size() >= links_per_server || !has_room(need)) {
        if (log_.wants(Level::Debug)) {
            const char* why = known == nullptr                      ? "not listed"
                              : at.links.size() >= links_per_server ? "as many as may be to this server"
                                                                    : "as many as may be to all servers";
            log_.debug("server_connection_not_opened", {{"server", std::to_string(number)}, {"why", why}});
        }
        return nullptr;
    }
    at.opened = loop_.now();
    at.links.push_back(std::make_shared<Link>(*this, number, known->address));
    ++links_;
    schedule_maintenance(number);
    return at.links.back().get();
}

ServerConnections::Link* ServerConnections::link_for_set_up(ServerNumber number, SessionId id) {
    const double stale = loop_.now() - stale_part_of_idle * limits_.conn_idle;
    Link* best = nullptr;
    for (const auto& link : server(number).links) {
        const bool is_full = link->sessions.size() >= limits_.streams_per_conn;
        if (link->closing || link->avoided || link->brief || is_full) continue;
        if (limits_.conn_idle > 0 && link->used < stale) continue;
        if (link->answered.contains(id, loop_.now())) continue;
        const bool better = best == nullptr || (link->connection.is_open() && !best->connection.is_open());
        if (better) best = link.get();
    }
    return best != nullptr ? best : open(number, Need::SetUp);
}

ServerConnections::Link* ServerConnections::open_link(Server& at, const Link* preferred) {
    Link* any = nullptr;
    for (const auto& link : at.links) {
        if (!link->connection.is_open() || link->closing) continue;
        if (link.get() == preferred) return link.get();
        any = link.get();
    }
    return any;
}

ServerConnections::Link* ServerConnections::other_open_link(Server& at, std::uint64_t not_this) {
    for (const auto& link : at.links) {
        if (link->connection.is_open() && !link->closing && link->number != not_this) return link.get();
    }
    return nullptr;
}

// On its own connection, another one that is open, or the next one.
void ServerConnections::send(ServerNumber number, const Link* preferred,
                             const codec::ServerMessage& message) {
    if (directory_.is_superseded(number)) return;  // what it was about ended with its process
    Server& at = server(number);
    const std::string text = encode(message);
    if (Link* link = open_link(at, preferred)) {
        link->used = loop_.now();
        return link->connection.send(text);
    }
    constexpr std::size_t most_pending = 256;
    if (at.pending.size() < most_pending) at.pending.push_back(text);
    ensure_connection(number);
}

void ServerConnections::release(ServerNumber number, const Link* preferred,
                                const codec::ServerMessage& message) {
    number = directory_.holder_of_address(number);  // it may have taken the set-up
    Server& at = server(number);
    if (!at.releases) at.releases = std::make_unique<RetransmitQueue>(release_times);
    Link* const link = open_link(at, preferred);
    if (at.releases->size() >= most_releases) {
        if (link != nullptr) link->connection.send(encode(message));
        return;
    }
    at.releases->add(message.session, encode(message), loop_.now());
    if (link != nullptr) return send_releases(number, *link);
    ensure_connection(number);
}

void ServerConnections::release_acknowledged(ServerNumber number, SessionId id) {
    Server& at = server(number);
    if (!at.releases || !at.releases->acknowledge(id)) return;
    if (at.releases->empty()) at.releases.reset();
}

void ServerConnections::listed() {
    std::vector<ServerNumber> superseded;
    for (const auto& [number, at] : servers_) {
        const bool holds_any = !at.links.empty() || !at.pending.empty() || at.releases;
        if (holds_any && directory_.is_superseded(number)) superseded.push_back(number);
    }
    for (const ServerNumber number : superseded)
        give_to_successor(number, directory_.holder_of_address(number));
}

// Its process is gone, and each of its connections either dead or one to the successor. Set-ups and sessions
// are placed by the server's number, so nothing more may be said or heard on these. Releases are for whoever
// has taken the set-up, which may be the successor.
void ServerConnections::give_to_successor(ServerNumber number, ServerNumber successor) {
    Server& at = server(number);
    log_.info("server_superseded", {{"server", std::to_string(number)},
                                    {"successor", std::to_string(successor)},
                                    {"connections", std::to_string(at.links.size())},
                                    {"releases", std::to_string(at.releases ? at.releases->size() : 0)}});
    at.pending.clear();
    if (at.releases) {
        Server& to = server(successor);
        if (!to.releases) to.releases = std::make_unique<RetransmitQueue>(release_times);
        to.releases->take_all(std::move(*at.releases), loop_.now());
        at.releases.reset();
    }
    const std::vector<std::shared_ptr<Link>> links = at.links;
    for (const auto& link : links) close_now(*link, "another server has its address");
    if (needs_connection(successor, server(successor))) ensure_connection(successor);
}

// Those that are due, on this connection.
void ServerConnections::send_releases(ServerNumber number, Link& link) {
    Server& at = server(number);
    if (!at.releases) return;
    for (const SessionId id : at.releases->due(loop_.now())) {
        if (at.releases->sent_on(id) == link.number) continue;
        link.used = loop_.now();
        link.connection.send(at.releases->send(id, link.number, loop_.now()));
    }
}

// A connection on which a release was sent may have broken, or be silent, before it was read.
void ServerConnections::retransmit_releases(ServerNumber number) {
    Server& at = server(number);
    if (!at.releases) return;
    at.releases->drop_expired(loop_.now());
    if (at.releases->empty()) return at.releases.reset();
    for (const SessionId id : at.releases->due(loop_.now())) {
        if (Link* link = other_open_link(at, at.releases->sent_on(id)))
            link->connection.send(at.releases->send(id, link->number, loop_.now()));
    }
}

void ServerConnections::ensure_connection(ServerNumber number) {
    Server& at = server(number);
    const bool is_urgent = (user_.has_sessions(number) && !has_sound(at)) || !at.pending.empty();
    const bool may_open = is_urgent || loop_.now() >= at.connect_not_before;
    if ((staying(at) == 0 || at.wants_new) && may_open) open_wanted(number);
    schedule_maintenance(number);
}

void ServerConnections::schedule_maintenance(ServerNumber number) {
    Server& at = server(number);
    if (!at.maintenance->is_set()) {
        at.maintenance->set(loop_.now() + maintain_every_s, [this, number] { maintain(number); });
    }
}

// Sees to a connection while sessions stand or messages wait.
void ServerConnections::maintain(ServerNumber number) {
    Server& at = server(number);
    close_rested(number);
    retransmit_releases(number);
    report_held_releases(number);
    if (at.reopen_at > 0 && loop_.now() >= at.reopen_at) {
        at.reopen_at = 0;
        at.wants_new = true;
    }
    probe_silent(number);
    if (user_.has_sessions(number)) {
        replace_silent(number);
        renew(number);
    }
    end_if_silent(number);
    if (needs_connection(number, at)) ensure_connection(number);
    if (!at.links.empty() || needs_connection(number, at)) schedule_maintenance(number);
}

// Closes what nothing needs.
void ServerConnections::close_rested(ServerNumber number) {
    Server& at = server(number);
    const double now = loop_.now();
    for (const auto& link : at.links) {
        // The only sound one that is left takes the place of those that have gone.
        if (link->brief && !link->closing && !has_sound(at)) link->brief = false;
        const bool has_sessions = !link->sessions.empty() && !link->avoided;
        const bool needed = has_sessions || (staying(at) == 1 && user_.has_sessions(number));
        if (link->closing || needed || !link->connection.is_open()) continue;
        if (now < link->used + closes_after(*link)) continue;
        at.closed_unheard = at.closed_unheard || !link->sessions.empty();
        note("server_connection_closing", *link, "idle");
        link->closing = true;
        link->connection.finish(link->brief ? brief_read_s : Connection::usual_finish_s);
    }
}

double ServerConnections::closes_after(const Link& link) const {
    constexpr double never = std::numeric_limits<double>::infinity();
    if (link.brief && !link.has_partial_line()) return brief_s;
    if (limits_.conn_idle <= 0) return never;
    return link.avoided ? limits_.conn_idle : silence_.idle_after;
}

// A server may hold releases that it could not send, though it speaks: it sends them on the next connection.
void ServerConnections::renew(ServerNumber number) {
    Server& at = server(number);
    const KnownServer* known = directory_.find(number);
    // That one which has left the list refuses would count as proof that it is gone.
    if (known == nullptr || known->entry.state == cinderfront::ServerState::Gone) return;
    if (at.watch.connection_is_due(loop_.now(), user_.stands_since(number))) at.wants_new = true;
}

bool ServerConnections::is_due_a_probe(ServerNumber number, const Server& at) const {
    return user_.has_sessions(number) && at.watch.probe_is_due(loop_.now());
}

void ServerConnections::probe_silent(ServerNumber number) {
    Server& at = server(number);
    if (at.watch.is_probed() || !is_due_a_probe(number, at)) return;
    for (const auto& link : at.links) {
        if (link->connection.is_open() && !link->closing) probe(at, *link);
    }
}

void ServerConnections::probe(Server& at, Link& link) {
    at.watch.probe_sent(loop_.now());
    note("server_probed", link, "silent");
    user_.probe(link);
}

// Ends the sessions of a server that says nothing, whether or not its connections come up.
void ServerConnections::end_if_silent(ServerNumber number) {
    Server& at = server(number);
    at.watch.connections_are_open(longest_open(at));
    if (!user_.has_sessions(number) || !at.watch.sessions_are_over(loop_.now())) return;
    for (const auto& link : at.links) link->avoided = true;
    user_.server_silent(number);
}

std::optional<double> ServerConnections::longest_open(const Server& at) const {
    std::optional<double> longest;
    for (const auto& link : at.links) {
        if (!link->connection.is_open() || link->closing) continue;
        longest = std::max(longest.value_or(0), loop_.now() - link->up_at);
    }
    return longest;
}

// Sessions rely on it, and it may be dead, or forgotten by the server.
bool ServerConnections::is_silent(const Server& at, const Link& link) const {
    if (!link.connection.is_open() || link.closing) return false;
    if (link.sessions.empty() && staying(at) > 1) return false;
    const double now = loop_.now();
    const bool rests = now > link.used + silence_.idle_after && !user_.waits_for_answer(link);
    return rests || now > link.heard + silence_.replace_after;
}

// A connection that is silent takes no more set-ups, and another one is opened beside it. It stays for as
// long as there is room: a server that was only stopped still has something to say on it.
void ServerConnections::replace_silent(ServerNumber number) {
    Server& at = server(number);
    for (const auto& link : at.links) {
        if (!is_silent(at, *link)) continue;
        if (!std::exchange(link->avoided, true)) {
            log_.info("server_connection_silent",
                      {{"server", std::to_string(number)},
                       {"connection", std::to_string(link->number)},
                       {"sessions", std::to_string(link->sessions.size())},
                       {"silent_ms", codec::whole_ms(loop_.now() - link->heard)}});
        }
        const double again_after = std::min(silence_.replace_after, silence_.idle_after);
        at.wants_new = at.wants_new || loop_.now() > at.opened + again_after;
    }
}

void ServerConnections::close_now(Link& link, std::string_view why) {
    note("server_connection_closing", link, why);
    link.connection.close();
    ended(link, Connection::End::Finished);
}

bool ServerConnections::is_connecting(const Server& at) {
    return std::any_of(at.links.begin(), at.links.end(),
                       [](const auto& link) { return !link->closing && !link->connection.is_open(); });
}

// Where one more is wanted and all are sound, one of them gives way.
void ServerConnections::make_room_in_order(Server& at) {
    const bool under_way = staying(at) < at.links.size();
    if (under_way) return;
    for (const auto& link : at.links) {
        const bool may_go = link->connection.is_open() && !link->closing && !user_.waits_for_answer(*link);
        if (!at.wants_new || !may_go) continue;
        note("server_connection_closing", *link, "room for the one in its place");
        link->closing = true;
        return link->connection.finish();
    }
}

// The next connection that is needed, in place of a silent one where there is no room.
void ServerConnections::open_wanted(ServerNumber number) {
    Server& at = server(number);
    if (directory_.find(number) == nullptr || is_connecting(at)) return;
    const Need need = staying(at) == 0 ? Need::Required : Need::Replacement;
    if (open(number, need) != nullptr) return;
    // The links are in the order in which they were opened.
    const auto avoided =
        std::find_if(at.links.begin(), at.links.end(), [](const auto& link) { return link->avoided; });
    if (avoided == at.links.end()) return make_room_in_order(at);
    at.closed_unheard = at.closed_unheard || !(*avoided)->sessions.empty();
    close_now(**avoided, "room for the one in its place");
    open(number, Need::Required);
}

void ServerConnections::ended(Link& link, Connection::End why) {
    const ServerNumber number = link.server;
    Server& at = server(number);
    const auto self = std::find_if(at.links.begin(), at.links.end(),
                                   [&](const auto& other) { return other.get() == &link; });
    if (self == at.links.end()) return;
    note("server_connection_ended", link, name_of(why));
    report_lost(link, why);
    loop_.retire(*self);
    at.links.erase(self);
    --links_;
    if (at.releases) at.releases->connection_lost(link.number, loop_.now());
    // A server that did not close in its turn may have written to it since.
    if (link.closing && !link.connection.peer_left() && user_.has_sessions(number)) at.closed_unheard = true;
    if (!link.came_up) {
        const double longest = user_.has_sessions(number) ? longest_with_sessions_s : longest_connect_pause_s;
        at.connect_pause = std::clamp(2 * at.connect_pause, maintain_every_s, longest);
        at.connect_not_before = loop_.now() + at.connect_pause;
    }
    at.wants_new = at.wants_new || (link.came_up && !link.sessions.empty());
    // A server at its cap of connections refuses too, but keeps those that it has; one that has left the list
    // and refuses is gone, though it may not have closed them, and so is one that broke its last one: another
    // server may have its address by the time of the next connect.
    const KnownServer* known = directory_.find(number);
    const bool left = known == nullptr || known->entry.state == cinderfront::ServerState::Gone;
    const bool broken = why == Connection::End::Reset || why == Connection::End::PeerClosed;
    const bool last = open_link(at, nullptr) == nullptr;
    const bool proof = why == Connection::End::Refused ? left || last : broken && left && last;
    if (why == Connection::End::TimedOut) at.watch.connect_timed_out(loop_.now());
    const bool from_here = why == Connection::End::Finished || why == Connection::End::Unavailable;
    if (!link.has_spoken && !from_here) at.watch.connection_was_fruitless(loop_.now());
    const bool silent = why == Connection::End::TimedOut && at.watch.has_vanished(loop_.now());
    user_.link_ended(link, why, proof ? Process::Gone : silent ? Process::Silent : Process::Unknown);
    schedule_maintenance(number);
}

void ServerConnections::note(std::string_view event, const Link& link, std::string_view why) {
    if (!log_.wants(Level::Debug)) return;
    log_.debug(event, {{"server", std::to_string(link.server)},
                       {"connection", std::to_string(link.number)},
                       {"sessions", std::to_string(link.sessions.size())},
                       {"why", std::string(why)}});
}

// A connection to a server with sessions that was lost, or the first one in a row that did not come up.
void ServerConnections::report_lost(const Link& link, Connection::End why) {
    if (!user_.has_sessions(link.server) || why == Connection::End::Finished) return;
    if (!link.came_up && server(link.server).failed_connects++ > 0) return;
    log_.info(link.came_up ? "server_connection_lost" : "server_not_reached",
              {{"server", std::to_string(link.server)},
               {"connection", std::to_string(link.number)},
               {"sessions", std::to_string(link.sessions.size())},
               {"why", name_of(why)}});
}

// Releases that came on a new connection at once, or on a brief one: the server could not send them before.
void ServerConnections::report_held_releases(ServerNumber number) {
    for (const auto& link : server(number).links) {
        if (link->held_releases == 0 || loop_.now() <= link->up_at + Link::held_release_s) continue;
        log_.info("held_releases_came",
                  {{"server", std::to_string(number)},
                   {"connection", std::to_string(link->number)},
                   {"releases", std::to_string(std::exchange(link->held_releases, 0))}});
    }
}

void ServerConnections::close_idle(ServerNumber number) {
    if (user_.has_sessions(number)) return;
    for (const auto& link : server(number).links) {
        if (!link->sessions.empty() || !link->connection.is_open()) continue;
        note("server_connection_closing", *link, "the module wants no idle ones");
        link->closing = true;
        link->connection.finish();
    }
}

}  // namespace jasperspread::agent
