// What is on the connections to lesson servers: set-ups that wait for one, set-ups that are out, and sessions
// that stand. A session that stands belongs to its server, not to a connection.
#pragma once

#include <cinderfront/controller.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent/log.h"
#include "agent/recent_releases.h"
#include "agent/seam.h"
#include "agent/server_connections.h"

namespace jasperspread::agent {

class ServerLinks : public ServerPort, private ServerConnections::User {
public:
    ServerLinks(net::Loop& loop, net::BufferPool& pool, Log& log, ServerEvents& events,
                const ServerDirectory& directory, const LinkLimits& limits);
    ~ServerLinks();

    void listed();  // the directory has changed
    // Whether anything is there still: a session, a set-up, a connection or a word that waits. What is known
    // of a server where nothing is goes.
    bool holds(ServerNumber number);
    // Servers that have spoken lately of a session that has stood there since then: they have not started
    // since.
    std::vector<std::pair<ServerNumber, double>> running() const;

    void set_up(const Attempt& attempt) override;
    AttemptProgress give_up(SessionId id) override;
    void set_rung(SessionId id, int rung) override;
    void end_session(SessionId id) override;
    void adopt(SessionId id, ServerNumber number) override;
    void forget(SessionId id) override { erase(id); }
    bool hands_over(ServerNumber number) const override;
    void hand_over(const HandoverMessage& said) override;
    void reassign(SessionId id, ServerNumber number, int rung) override;
    void set_epoch(SessionId id, std::uint64_t epoch) override;
    void end_at(SessionId id, ServerNumber number, std::uint64_t epoch) override;
    void probe(ServerNumber number) override;
    void close_idle(ServerNumber server) override { connections_.close_idle(server); }

private:
    using Link = ServerConnections::Link;
    enum class State { Queued, Written, Standing };
    struct Entry {
        Attempt attempt;
        State state = State::Queued;
        Link* link = nullptr;          // that it was written on, or waits for; null: any
        double since = 0, noted = 0;   // it stands since, and its server last spoke of it
        std::uint64_t epoch = 0;       // of its last hand-over, whatever came of it; 0: none
        std::uint64_t home_epoch = 0;  // of the one that brought it to where it stands
    };
    struct Server {
        std::set<SessionId> queued;
        std::size_t written = 0;
        std::set<std::pair<double, SessionId>> standing;  // by the time since when
        bool holds_any() const { return !queued.empty() || written > 0 || !standing.empty(); }
        bool hands_over = false;                    // it has announced that it can
        double broken_at = 0;                       // it last broke or closed a connection
        std::map<SessionId, std::string> prepares;  // that wait for it to announce that
    };
    struct Probe {
        ServerNumber server = 0;
        double sent = 0;
        net::Deadlines::Key end{0, 0};
    };

    void link_writable(Link& link) override { pump(link); }
    void received(Link& link, const codec::ServerMessage& message) override;
    void link_ended(Link& link, net::Connection::End why, ServerConnections::Process process) override;
    void link_stalled(Link& link) override;
    bool has_sessions(ServerNumber number) const override;
    double stands_since(ServerNumber number) const override;
    bool waits_for_answer(const Link& link) const override;
    void probe(Link& link) override;
    void server_silent(ServerNumber number) override;
    void pump(Link& link);
    void finished(Link& link, const codec::ServerMessage& message);
    void remember_release(ServerNumber from, const Entry* entry, const codec::ServerMessage& message);
    void note_repeated_answer(const Link& link, SessionId id);
    void take_note(Entry& entry, const codec::ServerMessage& message);
    void take_named(Link& link, const codec::ServerMessage& message);
    void attempt_over(SessionId id, cinderfront::Ending how, const cinderfront::LoadReport& load);
    void all_over(ServerNumber number, ServerConnections::Process process);
    void release_where_connected(const Attempt& attempt);
    double died_after(const KnownServer& known, const Server& at) const;
    static codec::ServerMessage release_of(SessionId id, const Entry& entry);
    void erase(SessionId id);
    // Entries, and with them what is at each server: all changes of a state or a server go by these.
    Entry& place(SessionId id, Entry entry);
    void set_state(SessionId id, Entry& entry, State state);
    void file(SessionId id, const Entry& entry);
    void unfile(SessionId id, const Entry& entry);
    void probe_over(SessionId tag, cinderfront::Ending how, const cinderfront::LoadReport& load);

    net::Loop& loop_;
    Log& log_;
    ServerEvents& events_;
    const ServerDirectory& directory_;
    const LinkLimits limits_;
    std::map<ServerNumber, Server> servers_;
    std::unordered_map<SessionId, Entry> entries_;
    std::unordered_map<SessionId, Probe> probes_;
    SessionId next_probe_ = 1;
    RecentReleases released_;        // sessions that stand here no more, or that nobody has handed over yet
    ServerConnections connections_;  // last: they may not call back before the rest is there
};

}  // namespace jasperspread::agent
