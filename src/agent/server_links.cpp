#include "server_links.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "agent/server_words.h"
#include "codec/error.h"

namespace jasperspread::agent {

using cinderfront::Ending;
using cinderfront::LoadReport;
using cinderfront::NoteKind;
using codec::ServerMessage;
using codec::ServerVerb;
using net::Connection;

namespace {

constexpr double probe_timeout_s = 1.0;
// A set-up that hands a session over may be written slowly, and be read so long after the session's end, s.
constexpr double releases_kept_s = 10;
constexpr std::size_t most_releases_kept = 4096;

}  // namespace

ServerLinks::ServerLinks(net::Loop& loop, net::BufferPool& pool, Log& log, ServerEvents& events,
                         const ServerDirectory& directory, const LinkLimits& limits)
    : loop_(loop),
      log_(log),
      events_(events),
      directory_(directory),
      limits_(limits),
      released_(releases_kept_s, most_releases_kept),
      connections_(loop, pool, log, *this, directory, limits) {}

ServerLinks::~ServerLinks() {
    for (auto& [tag, probe] : probes_) loop_.deadlines().cancel(probe.end);
}

bool ServerLinks::has_sessions(ServerNumber number) const {
    const auto it = servers_.find(number);
    return it != servers_.end() && !it->second.standing.empty();
}

double ServerLinks::stands_since(ServerNumber number) const {
    const auto it = servers_.find(number);
    const bool none = it == servers_.end() || it->second.standing.empty();
    return none ? loop_.now() : it->second.standing.begin()->first;
}

bool ServerLinks::waits_for_answer(const Link& link) const {
    return std::any_of(link.sessions.begin(), link.sessions.end(), [this](SessionId id) {
        const auto it = entries_.find(id);
        return it != entries_.end() && it->second.state == State::Written;
    });
}

void ServerLinks::link_ended(Link& link, Connection::End why, ServerConnections::Process process) {
    using Process = ServerConnections::Process;
    const ServerNumber number = link.server;
    if (why == Connection::End::Reset || why == Connection::End::PeerClosed)
        servers_[number].broken_at = loop_.now();
    link.queue.clear();
    const std::set<SessionId> sessions = std::exchange(link.sessions, {});
    for (const SessionId id : sessions) {
        const auto it = entries_.find(id);
        if (it != entries_.end()) it->second.link = nullptr;
    }
    if (process == Process::Gone) events_.process_gone(number);
    if (process != Process::Unknown) all_over(number, process);
    for (const SessionId id : sessions) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) continue;
        // Read before it is over: its end may send it out again under the same id, on a new entry.
        const State state = it->second.state;
        if (state == State::Written) {
            // Closed from here as another server has its address, which may have answered just now.
            if (directory_.is_superseded(number))
                connections_.release(number, nullptr, word(ServerVerb::Finish, id, cause_ok));
            attempt_over(id, Ending::Dropped, {});
        } else if (state == State::Queued && !link.came_up) {
            // That no descriptor was left here says nothing of the server.
            attempt_over(id, why == Connection::End::Unavailable ? Ending::Unused : Ending::DialFailed, {});
        } else if (state == State::Queued) {
            // Not a byte of it has gone out: it may take another connection.
            const Attempt attempt = it->second.attempt;
            erase(id);
            set_up(attempt);
        }
    }
}

// Its set-ups fare as though it had been closed, but for the server, which has to be told.
void ServerLinks::link_stalled(Link& link) {
    link.queue.clear();
    for (const SessionId id : std::set<SessionId>(link.sessions)) {
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.link != &link) continue;  // by the end of an earlier one
        const Entry entry = it->second;
        if (entry.state == State::Queued) {
            erase(id);
            set_up(entry.attempt);
        } else if (entry.state == State::Written) {
            connections_.release(link.server, nullptr, word(ServerVerb::Finish, id, cause_ok));
            attempt_over(id, Ending::Dropped, {});
        }
    }
}

void ServerLinks::server_silent(ServerNumber number) {
    all_over(number, ServerConnections::Process::Silent);
}

// The process at a server is gone, and with it what stood there; or it is silent, and what stands there is
// released as soon as it can be reached.
void ServerLinks::all_over(ServerNumber number, ServerConnections::Process process) {
    const bool is_gone = process == ServerConnections::Process::Gone;
    if (has_sessions(number))
        log_.info("sessions_over", {{"server", std::to_string(number)},
                                    {"sessions", std::to_string(servers_[number].standing.size())},
                                    {"why", is_gone ? "its process is gone" : "it is silent"}});
    connections_.drop_pending(number);
    if (is_gone) connections_.drop_releases(number);
    std::vector<SessionId> over;
    for (const auto& [since, id] : std::exchange(servers_[number].standing, {})) over.push_back(id);
    std::sort(over.begin(), over.end());
    for (const SessionId id : over) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) continue;  // the end of an earlier one has ended it
        const Entry entry = it->second;
        erase(id);
        events_.session_ended(id, Ending::Dropped, {});
        if (!is_gone) connections_.release(number, nullptr, release_of(id, entry));
    }
}

void ServerLinks::listed() {
    std::vector<SessionId> unsent, cut;
    for (const auto& [number, at] : servers_) {
        const KnownServer* known = directory_.find(number);
        if (known == nullptr) continue;
        const bool may_take = known->may_take_new() && !directory_.is_superseded(number);
        if (!may_take) unsent.insert(unsent.end(), at.queued.begin(), at.queued.end());
        if (at.standing.empty()) continue;
        const double died_at = died_after(*known, at);
        for (const auto& [since, id] : at.standing) {
            if (died_at <= since) break;
            cut.push_back(id);
        }
    }
    if (!cut.empty())
        log_.info("sessions_over", {{"sessions", std::to_string(cut.size())},
                                    {"why", "the list tells that their server has gone or started anew"}});
    for (const SessionId id : unsent) attempt_over(id, Ending::Unused, {});
    for (const SessionId id : cut) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) continue;  // the end of an earlier one has ended it
        release_where_connected(it->second.attempt);
        erase(id);
        events_.session_ended(id, Ending::Dropped, {});
    }
    connections_.listed();
}

// Whoever has the server's address now may have taken the set-up before the list told of it.
void ServerLinks::release_where_connected(const Attempt& attempt) {
    if (connections_.has_open_link(attempt.server))
        connections_.release(attempt.server, nullptr, word(ServerVerb::Finish, attempt.id, cause_cancelled));
}

// Sessions that have stood since before this time can't be held by the server any more: a process that
// started later does not know them, and one that left the list has died if it broke its connections or
// another server has its address. Connecting there proves nothing, as whoever has the address now accepts.
double ServerLinks::died_after(const KnownServer& known, const Server& at) const {
    if (directory_.is_superseded(known.entry.server)) return std::numeric_limits<double>::infinity();
    const bool is_listed = known.entry.state != cinderfront::ServerState::Gone;
    return is_listed ? known.entry.last_start.value_or(0) : at.broken_at;
}

bool ServerLinks::holds(ServerNumber number) {
    const auto it = servers_.find(number);
    if (it != servers_.end() && it->second.holds_any()) return true;
    if (connections_.holds(number)) return true;
    servers_.erase(number);
    return false;
}

std::vector<std::pair<ServerNumber, double>> ServerLinks::running() const {
    constexpr double notes_missed = 2;
    const double lately = loop_.now() - notes_missed * limits_.note_every - limits_.note_late;
    std::vector<std::pair<ServerNumber, double>> list;
    for (const auto& [number, at] : servers_) {
        double since = loop_.now();
        for (const auto& [stands_since, id] : at.standing) {
            if (entries_.at(id).noted < lately) continue;
            since = std::min(since, stands_since);
            break;
        }
        if (since < loop_.now()) list.emplace_back(number, since);
    }
    return list;
}

// ---- Set-ups ----

void ServerLinks::set_up(const Attempt& attempt) {
    Link* const free = connections_.link_for_set_up(attempt.server, attempt.id);
    const Entry& entry = place(attempt.id, Entry{attempt, State::Queued, free, loop_.now()});
    if (entry.link == nullptr) return attempt_over(attempt.id, Ending::Unused, {});
    Link& link = *entry.link;
    link.sessions.insert(attempt.id);
    link.queue.push_back(attempt.id);
    if (link.connection.is_open()) pump(link);
}

// Writes the set-ups that wait, as long as the first byte of each goes out now.
void ServerLinks::pump(Link& link) {
    while (!link.queue.empty() && link.connection.is_open()) {
        const SessionId id = link.queue.front();
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second.state != State::Queued || it->second.link != &link) {
            link.queue.pop_front();
            continue;
        }
        const Attempt& attempt = it->second.attempt;
        const KnownServer* known = directory_.find(attempt.server);
        const double left = attempt.give_up_at - loop_.now();
        const bool may_take = known != nullptr && known->may_take_new();
        if (left <= 0 || !may_take || directory_.is_superseded(attempt.server)) {
            link.queue.pop_front();
            attempt_over(id, Ending::Unused, {});
            continue;
        }
        ServerMessage message = word(ServerVerb::Start, id);
        message.fields = {{"class", attempt.class_name},
                          {"key", attempt.title},
                          {"left", codec::whole_ms(left)},
                          {"rung", std::to_string(attempt.rung)}};
        message.description = attempt.description;
        try {
            if (!link.connection.offer(encode(message))) return;
            set_state(id, it->second, State::Written);
            link.used = loop_.now();
            link.queue.pop_front();
        } catch (const codec::CodecError&) {  // escaped, the description no longer fits a line
            link.queue.pop_front();
            attempt_over(id, Ending::Unused, {});
        }
    }
}

void ServerLinks::attempt_over(SessionId id, Ending how, const LoadReport& load) {
    erase(id);
    events_.attempt_ended(id, how, load);
}

void ServerLinks::erase(SessionId id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    if (it->second.link != nullptr) it->second.link->sessions.erase(id);
    unfile(id, it->second);
    entries_.erase(it);
}

ServerLinks::Entry& ServerLinks::place(SessionId id, Entry entry) {
    const auto [it, fresh] = entries_.try_emplace(id);
    if (!fresh) unfile(id, it->second);
    it->second = std::move(entry);
    file(id, it->second);
    return it->second;
}

void ServerLinks::set_state(SessionId id, Entry& entry, State state) {
    unfile(id, entry);
    entry.state = state;
    if (state == State::Standing) entry.since = loop_.now();
    file(id, entry);
}

void ServerLinks::file(SessionId id, const Entry& entry) {
    Server& at = servers_[entry.attempt.server];
    if (entry.state == State::Queued) at.queued.insert(id);
    if (entry.state == State::Written) ++at.written;
    if (entry.state == State::Standing) at.standing.emplace(entry.since, id);
}

void ServerLinks::unfile(SessionId id, const Entry& entry) {
    Server& at = servers_[entry.attempt.server];
    if (entry.state == State::Queued) at.queued.erase(id);
    if (entry.state == State::Written) --at.written;
    if (entry.state == State::Standing) at.standing.erase({entry.since, id});
}

AttemptProgress ServerLinks::give_up(SessionId id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return AttemptProgress::Queued;
    const Entry entry = it->second;
    const bool connecting = entry.link != nullptr && !entry.link->connection.is_open();
    erase(id);
    if (entry.state == State::Queued)
        return connecting ? AttemptProgress::Connecting : AttemptProgress::Queued;
    connections_.release(entry.attempt.server, entry.link, word(ServerVerb::Finish, id, cause_ok));
    return AttemptProgress::Sent;
}

void ServerLinks::set_rung(SessionId id, int rung) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    it->second.attempt.rung = rung;
    if (it->second.state == State::Queued) return;
    ServerMessage message = word(ServerVerb::Rate, id);
    message.fields = {{"rung", std::to_string(rung)}};
    connections_.send(it->second.attempt.server, it->second.link, message);
}

ServerMessage ServerLinks::release_of(SessionId id, const Entry& entry) {
    ServerMessage message = word(ServerVerb::Finish, id, cause_cancelled);
    if (entry.epoch > 0) message.fields["epoch"] = std::to_string(entry.epoch);
    return message;
}

void ServerLinks::end_session(SessionId id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    const Entry entry = it->second;
    erase(id);
    connections_.release(entry.attempt.server, entry.link, release_of(id, entry));
}

void ServerLinks::adopt(SessionId id, ServerNumber number) {
    // Its server went before it was handed over, and whoever is reached there does not know it.
    if (directory_.is_superseded(number)) return events_.session_ended(id, Ending::Dropped, {});
    // Its server has told of its end already.
    if (const auto how = released_.find(id, number, loop_.now())) {
        released_.add(id, number, Ending::Revoked, loop_.now());
        return events_.session_ended(id, *how, {});
    }
    Entry entry;
    if (const auto it = entries_.find(id); it != entries_.end()) entry = it->second;
    entry.attempt.id = id;
    entry.attempt.server = number;
    entry.state = State::Standing;
    entry.since = loop_.now();
    if (!has_sessions(number)) connections_.sessions_begin(number);
    place(id, std::move(entry));
    connections_.ensure_connection(number);
}

// ---- What servers say ----

void ServerLinks::received(Link& link, const ServerMessage& message) {
    const SessionId id = message.session;
    const ServerNumber speaker = link.speaker();
    const auto it = entries_.find(id);
    Entry* entry = it != entries_.end() && it->second.attempt.server == speaker ? &it->second : nullptr;
    switch (message.verb) {
        case ServerVerb::Started:
            if (entry == nullptr) {
                events_.answered_late(id, speaker);
                // It crossed our giving up: what now stands there is released, not passed on.
                connections_.release(speaker, &link, word(ServerVerb::Finish, id, cause_ok));
            } else if (entry->state == State::Written) {
                set_state(id, *entry, State::Standing);
                entry->attempt.description = {};  // only a set-up has one
                events_.started(id, message.description.value_or(""));
            }
            break;
        case ServerVerb::Finished:
            connections_.release_acknowledged(speaker, id);
            break;
        case ServerVerb::Finish: {
            connections_.release_acknowledged(speaker, id);
            link.connection.send(encode(word(ServerVerb::Finished, id)));
            // What a server says of a session's earlier stay there, before it was handed on, is old.
            const std::uint64_t epoch = whole(message.field("epoch"));
            if (epoch == 0) remember_release(speaker, entry, message);
            if (entry != nullptr && (epoch == 0 || epoch >= entry->home_epoch)) finished(link, message);
            if (entry == nullptr && epoch > 0)
                events_.ended_at(id, speaker, epoch, ending_of_session(message));
            break;
        }
        case ServerVerb::Unknown:
            take_named(link, message);
            break;
        case ServerVerb::Notice:
            if (entry != nullptr) take_note(*entry, message);
            break;
        case ServerVerb::Echo:
            link.connection.send(encode(word(ServerVerb::Echoed, id, 1)));
            break;
        case ServerVerb::Echoed:
            probe_over(id, message.cause == 1 ? Ending::Delivered : Ending::AppError, load_of(message));
            break;
        default:  // progress, or a message of a later version
            break;
    }
}

void ServerLinks::take_note(Entry& entry, const ServerMessage& message) {
    static constexpr std::pair<std::string_view, NoteKind> kinds[] = {{"fill", NoteKind::Delivered},
                                                                      {"grade", NoteKind::Rung},
                                                                      {"local", NoteKind::Link},
                                                                      {"upstream", NoteKind::Rack}};
    const std::string* note = message.field("note");
    const std::string* value = message.field("value");
    const auto number = value == nullptr ? std::nullopt : codec::parse_number(*value);
    if (note == nullptr || !number) return;
    entry.noted = loop_.now();
    for (const auto& [name, kind] : kinds) {
        if (name == *note) events_.noted(message.session, kind, *number);
    }
}

void ServerLinks::finished(Link& link, const ServerMessage& message) {
    const SessionId id = message.session;
    const Entry& entry = entries_.at(id);
    if (entry.state == State::Queued) return;
    const LoadReport load = load_of(message);
    if (entry.state == State::Written) {
        // A set-up is answered on its own connection: this is a second copy of the answer to an earlier one.
        if (entry.link != &link) return note_repeated_answer(link, id);
        link.answered.add(id, loop_.now());
        return attempt_over(id, ending_of_attempt(message), load);
    }
    erase(id);
    events_.session_ended(id, ending_of_session(message), load);
}

// Revoked: its viewer is told already, and a set-up that hands the session over again is late.
void ServerLinks::remember_release(ServerNumber from, const Entry* entry, const ServerMessage& message) {
    if (entry != nullptr && entry->state != State::Standing) return;  // the end of an attempt
    const Ending how = entry != nullptr ? Ending::Revoked : ending_of_session(message);
    released_.add(message.session, from, how, loop_.now());
}

void ServerLinks::note_repeated_answer(const Link& link, SessionId id) {
    if (!log_.wants(Level::Debug)) return;
    log_.debug("answer_repeated",
               {{"session", codec::to_hex(id)}, {"connection", std::to_string(link.number)}});
}

// ---- Probes ----

// Its answer, whatever it is, is heard as a sign of life and told to nobody.
void ServerLinks::probe(Link& link) {
    link.connection.send(encode(word(ServerVerb::Echo, next_probe_++, 1)));
}

void ServerLinks::probe(ServerNumber number) {
    const SessionId tag = next_probe_++;
    const double now = loop_.now();
    probes_[tag] = Probe{number, now, loop_.deadlines().add(now + probe_timeout_s, [this, tag] {
                             probe_over(tag, Ending::Expired, {});
                         })};
    connections_.send(number, nullptr, word(ServerVerb::Echo, tag, 1));
}

void ServerLinks::probe_over(SessionId tag, Ending how, const LoadReport& load) {
    const auto it = probes_.find(tag);
    if (it == probes_.end()) return;
    const Probe probe = it->second;
    loop_.deadlines().cancel(probe.end);
    probes_.erase(it);
    events_.probed(probe.server, how, loop_.now() - probe.sent, load);
}

}  // namespace jasperspread::agent
